"""The hollow processes as the scale run sees them."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType
from typing import Self, TypeVar

from jasperwalk.addresses import Endpoint
from jasperwalk.messages.distribution import SubscriberRole
from jasperwalk_lab.scale.channel import (
    ANSWER_DECODER,
    LINE_LIMIT_BYTES,
    Answer,
    Configure,
    Done,
    Record,
    Request,
    encode_line,
)
from jasperwalk_lab.scale.errors import HollowProcessLost
from jasperwalk_lab.scale.plan import HollowShare

ANSWER_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 10.0
PROGRAM = Path(sys.executable).parent / "jasperwalk-lab"

AnswerType = TypeVar("AnswerType", bound=Answer)


class HollowHandle:
    """One hollow process."""

    def __init__(self, share: HollowShare, process: asyncio.subprocess.Process) -> None:
        self.share = share
        self._process = process
        self._turn = asyncio.Lock()

    @property
    def process_id(self) -> int:
        """The operating system's ID of the process."""
        return self._process.pid

    async def ask(self, request: Request, expected: type[AnswerType]) -> AnswerType:
        """Send a request and return its answer; raise `HollowProcessLost`."""
        name = type(request).__name__
        reader, writer = self._process.stdout, self._process.stdin
        async with self._turn:
            try:
                if reader is None or writer is None:
                    raise HollowProcessLost(name=self.share.name, request=name)
                writer.write(encode_line(request))
                await writer.drain()
                async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                    line = await reader.readline()
            except (OSError, TimeoutError) as error:
                raise HollowProcessLost(name=self.share.name, request=name) from error
        if not line:
            raise HollowProcessLost(name=self.share.name, request=name)
        answer = ANSWER_DECODER.decode(line)
        if not isinstance(answer, expected):
            raise HollowProcessLost(name=self.share.name, request=name)
        return answer

    async def stop(self) -> None:
        """End the process: its input ends, and after ten seconds it is killed."""
        if self._process.stdin is not None:
            self._process.stdin.close()
        try:
            await asyncio.wait_for(self._process.wait(), STOP_TIMEOUT_SECONDS)
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGKILL)
            await self._process.wait()


async def ask_each(
    handles: Sequence[HollowHandle], request: Request, expected: type[AnswerType]
) -> list[AnswerType]:
    """Send one request to each of these processes and return the answers in their order."""
    return await asyncio.gather(*(handle.ask(request, expected) for handle in handles))


class HollowPool:
    """All hollow processes of a run; leaving the context ends them."""

    def __init__(self, log_folder: Path) -> None:
        self._log_folder = log_folder
        self.handles: list[HollowHandle] = []

    async def __aenter__(self) -> Self:
        """Return the pool, which has no processes yet."""
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        """End every process."""
        await asyncio.gather(*(handle.stop() for handle in self.handles))

    def of_role(self, role: SubscriberRole) -> list[HollowHandle]:
        """Return the processes with followers of one role."""
        return [handle for handle in self.handles if handle.share.role is role]

    async def start(self, shares: list[HollowShare]) -> None:
        """Start one process a share and wait until each takes requests."""
        for share in shares:
            self.handles.append(await self._start(share))
        await self.ask_all(Record(), Done)

    async def configure(self, cluster_id: str, control: list[Endpoint], seed: int) -> None:
        """Have every process make its followers."""
        requests = [
            Configure(
                cluster_id=cluster_id,
                control=control,
                role=handle.share.role,
                seed=seed + number,
                followers=list(handle.share.followers),
            )
            for number, handle in enumerate(self.handles)
        ]
        asked = [h.ask(r, Done) for h, r in zip(self.handles, requests, strict=True)]
        await asyncio.gather(*asked)

    async def ask_all(self, request: Request, expected: type[AnswerType]) -> list[AnswerType]:
        """Send one request to every process and return the answers in their order."""
        return await ask_each(self.handles, request, expected)

    async def _start(self, share: HollowShare) -> HollowHandle:
        with (self._log_folder / f"{share.name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                str(PROGRAM),
                "scale-hollow",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=LINE_LIMIT_BYTES,
            )
        return HollowHandle(share, process)
