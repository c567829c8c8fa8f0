"""The processes of the product in a soak: how they are started, struck and ended."""

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
"""From SIGTERM to SIGKILL: an agent may wait for a host that leaves."""


class ProcessNotRunning(Exception):
    """A process that was to be struck does not run."""


@dataclass
class SoakProcess:
    """One process of the product; `settings` are written anew at each start."""

    name: str
    role: str
    settings: dict[str, object]
    folder: Path
    supervisor: Supervisor

    async def start(self) -> None:
        """Start it; its log goes on."""
        path = self.folder / f"{self.name}.toml"
        path.write_text(tomli_w.dumps(self.settings), encoding="utf-8")
        environment = {"PATH": os.environ.get("PATH", ""), SETTINGS_VARIABLE: str(path)}
        command = (sys.executable, str(RUN_SCRIPT), self.role)
        await self.supervisor.start(ProcessPlan(self.name, command, None, environment))

    async def kill(self) -> None:
        """End it at once; raises `ProcessNotRunning`."""
        self._check_runs()
        await self.supervisor.kill(self.name)

    async def stop(self) -> bool:
        """End it with SIGTERM, after a while with SIGKILL; raises `ProcessNotRunning`.

        Returns whether it ended in time; while it stands still its time does not run.
        """
        self._check_runs()
        status = await self.supervisor.stop(self.name, STOP_GRACE_SECONDS)
        return status != -signal.SIGKILL

    async def pause(self, seconds: float) -> None:
        """Let it stand still; raises `ProcessNotRunning`."""
        self._check_runs()
        paused = psutil.Process(self.supervisor.process_id(self.name))
        paused.suspend()
        try:
            await asyncio.sleep(seconds)
        finally:
            # It may be stopping meanwhile, or have been killed.
            with contextlib.suppress(psutil.NoSuchProcess):
                paused.resume()

    def reload(self) -> None:
        """Tell it that its settings have changed; raises `ProcessNotRunning`.

        A process whose interpreter has not come to the program's first line cannot take the signal
        yet: that is the system's to bear, and it is passed over.
        """
        process_id = self.supervisor.process_id(self.name)
        if process_id is None:
            raise ProcessNotRunning(self.name)
        with contextlib.suppress(ProcessLookupError):
            if _takes_reload_signal(process_id):
                os.kill(process_id, signal.SIGHUP)

    def runs(self) -> bool:
        """Tell whether it runs and was not told to end."""
        return self.supervisor.process_id(self.name) is not None

    def exists(self) -> bool:
        """Tell whether it is there at all, also while it is on its way to its end."""
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
    """Tell whether a process ignores the reload signal or has a handler of it."""
    try:
        status = Path(f"/proc/{process_id}/status").read_text(encoding="ascii")
    except FileNotFoundError:
        return False
    masks = dict(line.split(":\t") for line in status.splitlines() if line.startswith("Sig"))
    bit = 1 << (signal.SIGHUP - 1)
    return bool((int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)) & bit)
