"""Samples the revision in force on every process, and checks that none decreases."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import aiohttp
import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.chaos.violations import ChaosPromise, ChaosViolation
from jasperwalk_lab.supervisor import health_url

SAMPLE_SECONDS = 0.2
SAMPLE_TIMEOUT_SECONDS = 1.0


class RevisionView(msgspec.Struct, frozen=True):
    """The field of a health page that is sampled; revision 0 means no table yet."""

    revision: int = 0


@dataclass(frozen=True)
class RevisionSample:
    """The table revision of a process; `at` is when it was requested (seconds)."""

    process: str
    at: float
    revision: int


class RevisionSampler:
    """Requests the revision of every process periodically; one task each."""

    def __init__(self, admins: Mapping[str, Endpoint]) -> None:
        self._admins = admins
        self.samples: list[RevisionSample] = []

    async def run(self) -> None:
        """Sample until cancelled."""
        timeout = aiohttp.ClientTimeout(total=SAMPLE_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            await asyncio.gather(*(self._sample(session, name) for name in self._admins))

    async def _sample(self, session: aiohttp.ClientSession, process: str) -> None:
        while True:
            asked = asyncio.get_running_loop().time()
            revision = await read_revision(session, self._admins[process])
            if revision:
                self.samples.append(RevisionSample(process, asked, revision))
            await asyncio.sleep(SAMPLE_SECONDS)


async def read_revision(session: aiohttp.ClientSession, admin: Endpoint) -> int:
    """Return the revision on a process's health page, 0 without an answer."""
    try:
        async with session.get(health_url(admin)) as response:
            return msgspec.json.decode(await response.read(), type=RevisionView).revision
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
        return 0


def check_revisions(samples: Iterable[RevisionSample]) -> Iterator[ChaosViolation]:
    """Check that no process's revision ever decreased, including over restarts."""
    newest: dict[str, int] = defaultdict(int)
    for sample in sorted(samples, key=lambda each: each.at):
        if sample.revision < newest[sample.process]:
            detail = f"{sample.process} from {newest[sample.process]} to {sample.revision}"
            yield ChaosViolation(ChaosPromise.REVISION_WENT_BACK, detail)
        newest[sample.process] = max(newest[sample.process], sample.revision)
