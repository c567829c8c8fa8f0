"""Starts the processes of a fleet, waits until they are healthy, and signals and stops them."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.errors import FleetNotReady

STOP_TIMEOUT_SECONDS = 5.0
"""Time from SIGTERM to SIGKILL."""
HEALTH_POLL_SECONDS = 0.1
HEALTH_TIMEOUT_SECONDS = 2.0
HTTP_OK = 200

log = structlog.get_logger()


@dataclass(frozen=True)
class ProcessPlan:
    """One process: its name, command line, and the URL that answers 200 when it is ready."""

    name: str
    command: tuple[str, ...]
    health_url: str | None
    environment: Mapping[str, str] | None = None
    """The complete environment; None inherits the one of this process."""


def health_url(admin: Endpoint, path: str = "/healthz") -> str:
    """Return the URL of a health page."""
    return f"http://{admin}{path}"


class Supervisor:
    """Runs processes and writes their output to `<name>.log` in `log_folder`."""

    def __init__(self, log_folder: Path) -> None:
        self._log_folder = log_folder
        self._plans: dict[str, ProcessPlan] = {}
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._stopping: dict[str, asyncio.subprocess.Process] = {}
        self.max_running = 0
        """The largest number of processes that ran at once."""

    async def start(self, plan: ProcessPlan) -> None:
        """Start a process; a restart appends to its log."""
        with self._log(plan.name).open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                *plan.command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=plan.environment,
            )
        self._plans[plan.name] = plan
        self._processes[plan.name] = process
        self.max_running = max(self.max_running, len(self._processes))

    async def start_all(self, plans: list[ProcessPlan]) -> None:
        """Start many processes at once."""
        await asyncio.gather(*(self.start(plan) for plan in plans))

    async def wait_ready(self, names: list[str], timeout: float) -> None:
        """Wait until every named process is healthy; raise `FleetNotReady`."""
        request_timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_SECONDS)
        deadline = asyncio.get_running_loop().time() + timeout
        async with aiohttp.ClientSession(timeout=request_timeout) as session:
            await asyncio.gather(*(self._wait_one(session, name, deadline) for name in names))

    async def _wait_one(self, session: aiohttp.ClientSession, name: str, deadline: float) -> None:
        url = self._plans[name].health_url
        seen = "no answer"
        while url is not None:
            if self._processes[name].returncode is not None:
                code = self._processes[name].returncode
                raise FleetNotReady(name, f"ended with status {code}", self._log(name))
            try:
                async with session.get(url) as response:
                    seen = f"status {response.status}: {(await response.text())[:200]}"
                    if response.status == HTTP_OK:
                        return
            except (aiohttp.ClientError, TimeoutError) as error:
                seen = type(error).__name__
            if asyncio.get_running_loop().time() > deadline:
                raise FleetNotReady(name, f"not healthy in time ({seen})", self._log(name))
            await asyncio.sleep(HEALTH_POLL_SECONDS)

    async def kill(self, name: str) -> None:
        """End a process at once with SIGKILL, as a lost machine would."""
        process = self._processes.pop(name)
        _signal(process, signal.SIGKILL)
        await process.wait()
        log.info("process_killed", process=name)

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP; its sockets stay open."""
        _signal(self._processes[name], signal.SIGSTOP)
        log.info("process_frozen", process=name)

    def thaw(self, name: str) -> None:
        """Resume a frozen process with SIGCONT."""
        _signal(self._processes[name], signal.SIGCONT)
        log.info("process_thawed", process=name)

    def process_id(self, name: str) -> int | None:
        """Return the ID of a running process, None if it was not started or has ended."""
        process = self._processes.get(name)
        return None if process is None or process.returncode is not None else process.pid

    def exists(self, name: str) -> bool:
        """Return whether a process exists, which includes one that is being stopped."""
        return name in self._stopping or self.process_id(name) is not None

    def runs(self, name: str) -> bool:
        """Return whether this supervisor started a process and has not stopped or killed it."""
        return name in self._processes

    async def stop(self, name: str, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """Stop a process with SIGTERM, after `timeout` seconds with SIGKILL; return its status."""
        process = self._processes.pop(name)
        self._stopping[name] = process
        _signal(process, signal.SIGTERM)
        try:
            async with asyncio.timeout(timeout):
                return await process.wait()
        except TimeoutError:
            log.warning("process_did_not_stop", process=name)
            _signal(process, signal.SIGKILL)
            return await process.wait()
        finally:
            del self._stopping[name]

    async def stop_all(self) -> None:
        """Stop every process."""
        await asyncio.gather(*(self.stop(name) for name in list(self._processes)))

    def ended_unexpectedly(self) -> list[str]:
        """Return the names of processes that ended without being stopped or killed."""
        ended = self._processes.items()
        return [name for name, process in ended if process.returncode is not None]

    def _log(self, name: str) -> Path:
        return self._log_folder / f"{name}.log"


def _signal(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    with contextlib.suppress(ProcessLookupError):  # it has just ended
        process.send_signal(number)
