"""The processes of the product in a soak: starts, stops, kills, pauses and signals them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

import psutil
import tomli_w

from jasperwalk_lab.soak.wire import SETTINGS_VARIABLE
from jasperwalk_lab.supervisor import ProcessPlan, Supervisor

ROOT = Path(__file__).resolve().parents[3]
RUN_SCRIPT = ROOT / "platform" / "run.py"
STOP_GRACE_SECONDS = 8.0
"""Time from SIGTERM to SIGKILL: an agent may wait for a draining host."""


class ProcessNotRunning(Exception):
    """The process that a fault targets does not run."""


@dataclass
class SoakProcess:
    """One process of the product; `settings` are written to its file at each start."""

    name: str
    role: str
    settings: dict[str, object]
    folder: Path
    supervisor: Supervisor

    async def start(self) -> None:
        """Start it; its log is continued."""
        path = self.folder / f"{self.name}.toml"
        path.write_text(tomli_w.dumps(self.settings), encoding="utf-8")
        environment = {"PATH": os.environ.get("PATH", ""), SETTINGS_VARIABLE: str(path)}
        command = (sys.executable, str(RUN_SCRIPT), self.role)
        await self.supervisor.start(ProcessPlan(self.name, command, None, environment))

    async def kill(self) -> None:
        """Kill it with SIGKILL; raises `ProcessNotRunning`."""
        self._check_runs()
        await self.supervisor.kill(self.name)

    async def stop(self) -> bool:
        """Stop it with SIGTERM, then after a grace period SIGKILL; raises `ProcessNotRunning`.

        Returns whether it ended in time; time in which it is paused does not count.
        """
        self._check_runs()
        status = await self.supervisor.stop(self.name, STOP_GRACE_SECONDS)
        return status != -signal.SIGKILL

    async def pause(self, seconds: float) -> None:
        """Suspend it for `seconds`; raises `ProcessNotRunning`."""
        self._check_runs()
        paused = psutil.Process(self.supervisor.process_id(self.name))
        paused.suspend()
        try:
            await asyncio.sleep(seconds)
        finally:
            # It may have ended or been killed meanwhile.
            with contextlib.suppress(psutil.NoSuchProcess):
                paused.resume()

    def reload(self) -> None:
        """Send it the reload signal; raises `ProcessNotRunning`.

        A process whose interpreter has not reached the program's first line would be ended by the
        signal, which the program cannot prevent: it gets none.
        """
        process_id = self.supervisor.process_id(self.name)
        if process_id is None:
            raise ProcessNotRunning(self.name)
        with contextlib.suppress(ProcessLookupError):
            if _takes_reload_signal(process_id):
                os.kill(process_id, signal.SIGHUP)

    def runs(self) -> bool:
        """Tell whether it runs and is not being stopped."""
        return self.supervisor.process_id(self.name) is not None

    def exists(self) -> bool:
        """Tell whether it exists, also while it is being stopped."""
        return self.supervisor.exists(self.name)

    def _check_runs(self) -> None:
        if not self.runs():
            raise ProcessNotRunning(self.name)

    def use(self) -> tuple[int, int]:
        """Return its resident bytes and open descriptors, zeros where it does not run."""
        process_id = self.supervisor.process_id(self.name)
        if process_id is None:
            return 0, 0
        try:
            seen = psutil.Process(process_id)
            return int(seen.memory_info().rss), int(seen.num_fds())
        except psutil.Error:
            return 0, 0


def _takes_reload_signal(process_id: int) -> bool:
    """Tell whether a process ignores the reload signal or has a handler for it."""
    try:
        status = Path(f"/proc/{process_id}/status").read_text(encoding="ascii")
    except FileNotFoundError:
        return False
    masks = dict(line.split(":\t") for line in status.splitlines() if line.startswith("Sig"))
    bit = 1 << (signal.SIGHUP - 1)
    return bool((int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)) & bit)
