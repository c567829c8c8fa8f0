"""Virtual time: an event loop that never waits, and processes that drift, freeze and die.

The loop runs the product's asyncio code unchanged. When nothing is left to run, it moves its
clock to the next timer instead of sleeping. Every callback belongs to the process whose
context it was created in, so a frozen process gets all its callbacks late and a killed one
gets none any more, exactly where it stood.
"""

from __future__ import annotations

import asyncio
import contextvars
import selectors
from collections.abc import Callable, Coroutine
from concurrent.futures import Executor
from dataclasses import dataclass
from random import Random
from typing import Any, TypeVar, TypeVarTuple, Unpack

Arguments = TypeVarTuple("Arguments")
Result = TypeVar("Result")

CLOCK_START_SECONDS = 1000.0
"""Virtual time at which a run begins; not zero, so that ages never reach back before it."""
MIN_WAIT_SECONDS = 1e-4
"""Timers are no finer than this, as on a real machine. A drifting clock comes closer and closer
to a deadline; it would never reach it by ever smaller steps."""
TURNS_UNTIL_TIME_ADVANCES = 1_000
"""Turns of the loop after which some time has passed, as on a real machine. A deadline may be
due by one rounding and not yet by another; whoever waits for it would spin for ever."""
MAX_TURNS_WITHOUT_WAIT = 100_000
"""Turns without a wait after which a process is held to spin."""
DISK_SYNC_SECONDS = (0.001, 0.02)
"""Least and longest time that a sync of a simulated disk takes."""

_running: contextvars.ContextVar[SimulatedProcess | None] = contextvars.ContextVar(
    "running", default=None
)


class SimulatedProcess:
    """One process of the fleet: its clock and whether it runs.

    `drift` is the share by which its clock runs fast (or slow, where negative). `world` is
    what stand-ins for sockets and disks look up through the running process.
    """

    def __init__(self, name: str, zone: str, world: Any, drift: float = 0.0) -> None:
        self.name = name
        self.world = world
        self.zone = zone
        self.drift = drift
        self.alive = True
        self.frozen = False
        self.machine_lost = False
        """Whether the machine went with the process, so that nobody resets its connections."""
        self.random: Random = Random(f"{name}")
        self._waiting: list[_DeferredCallback] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._context = contextvars.copy_context()
        self._context.run(_running.set, self)

    def now(self) -> float:
        """Return this process's own clock, seconds."""
        true_seconds = asyncio.get_running_loop().time()
        return true_seconds + self.drift * (true_seconds - CLOCK_START_SECONDS)

    def start(self, job: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a part of this process."""
        return self._context.copy().run(asyncio.get_running_loop().create_task, job)

    def call(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Run a function soon as a part of this process; nothing happens once it is dead."""
        asyncio.get_running_loop().call_soon(function, *arguments, context=self._context.copy())

    def run(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Run a function at once as a part of this process."""
        return self._context.copy().run(function, *arguments)

    def hold_task(self, task: asyncio.Task[Any]) -> None:
        """Hold a task to the end of the run: a killed one must not run its `finally`."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard, context=contextvars.Context())

    def freeze(self) -> None:
        """Stop the process as SIGSTOP does."""
        self.frozen = True

    def thaw(self) -> None:
        """Let the process go on; what was due meanwhile runs now, in order."""
        self.frozen = False
        waiting, self._waiting = self._waiting, []
        loop = asyncio.get_running_loop()
        for deferred in waiting:
            loop.call_soon(deferred.run, context=deferred.context)

    def kill(self) -> None:
        """End the process as SIGKILL does."""
        self.alive = False
        self._waiting.clear()

    def run_callback(
        self, callback: Callable[..., Any], arguments: tuple[Any, ...], handle: _HandleCell
    ) -> None:
        """Run a callback of this process now, later, or never."""
        if not self.alive:
            return
        if self.frozen:
            context = contextvars.copy_context()
            self._waiting.append(_DeferredCallback(callback, arguments, handle, context))
            return
        callback(*arguments)


class _HandleCell:
    """Where a callback finds its own handle, to see whether it was cancelled meanwhile."""

    __slots__ = ("handle",)

    def __init__(self) -> None:
        self.handle: asyncio.Handle | None = None


@dataclass(frozen=True)
class _DeferredCallback:
    """A callback that came due while its process was frozen."""

    callback: Callable[..., Any]
    arguments: tuple[Any, ...]
    cell: _HandleCell
    context: contextvars.Context

    def run(self) -> None:
        """Run it, unless it was cancelled meanwhile."""
        if self.cell.handle is None or not self.cell.handle.cancelled():
            self.callback(*self.arguments)


class _VirtualTimeSelector(selectors.SelectSelector):
    """Reports nothing and, instead of waiting, tells how long the loop meant to wait."""

    def __init__(self) -> None:
        super().__init__()
        self.waited_seconds = 0.0
        self._turns = 0
        """Turns of the loop since it last had to wait."""

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return at once."""
        if timeout is None:
            raise RuntimeError("nothing is left to run in virtual time")
        if timeout > 0.0:
            self.waited_seconds += max(timeout, MIN_WAIT_SECONDS)
            self._turns = 0
            return []
        self._turns += 1
        if self._turns % TURNS_UNTIL_TIME_ADVANCES == 0:
            self.waited_seconds += MIN_WAIT_SECONDS
        if self._turns > MAX_TURNS_WITHOUT_WAIT:
            raise RuntimeError(f"a process spins at {self.waited_seconds} s of virtual time")
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time; the same calls give the same order of callbacks."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        self.set_task_factory(_create_tracked_task)
        self.set_exception_handler(self._record_failure)
        self.failures: list[str] = []

    def time(self) -> float:
        """Return the virtual time, seconds."""
        return CLOCK_START_SECONDS + self._virtual_selector.waited_seconds

    def call_soon(
        self,
        callback: Callable[[Unpack[Arguments]], object],
        *args: *Arguments,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Run a callback in its process's turn."""
        cell = _HandleCell()
        cell.handle = super().call_soon(_run_in_process, callback, args, cell, context=context)
        return cell.handle

    def call_at(
        self,
        when: float,
        callback: Callable[[Unpack[Arguments]], object],
        *args: *Arguments,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Run a callback at a time, in its process's turn."""
        cell = _HandleCell()
        handle = super().call_at(when, _run_in_process, callback, args, cell, context=context)
        cell.handle = handle
        return handle

    def run_in_executor(
        self,
        executor: Executor | None,
        func: Callable[[Unpack[Arguments]], Result],
        *args: *Arguments,
    ) -> asyncio.Future[Result]:
        """Do the work after the time that a disk takes; no thread is started.

        A worker's `begin` is told of the work first, for a crash in the middle of it.
        """
        return self.create_task(self._simulate_disk_work(func, args))

    async def _simulate_disk_work(
        self, function: Callable[..., Result], arguments: tuple[Any, ...]
    ) -> Result:
        process = current_process()
        begin = getattr(getattr(function, "__self__", None), "begin", None)
        if begin is not None:
            begin(*arguments)
        await asyncio.sleep(process.random.uniform(*DISK_SYNC_SECONDS))
        return function(*arguments)

    def _record_failure(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None and not isinstance(error, asyncio.CancelledError):
            self.failures.append(f"{context.get('message')}: {error!r}")


def _run_in_process(
    callback: Callable[..., Any], arguments: tuple[Any, ...], cell: _HandleCell
) -> None:
    process = _running.get()
    if process is None:
        callback(*arguments)
    else:
        process.run_callback(callback, arguments, cell)


def current_process() -> SimulatedProcess:
    """Return the process that runs now; raises `LookupError` outside of any."""
    process = _running.get()
    if process is None:
        raise LookupError("no simulated process is running")
    return process


def _create_tracked_task(
    loop: asyncio.AbstractEventLoop, job: Any, **options: Any
) -> asyncio.Task[Any]:
    task = asyncio.Task(job, loop=loop, **options)
    process = _running.get()
    if process is not None:
        process.hold_task(task)
    return task


class ProcessClock:
    """Stands in for the module `time` in product modules: the running process's clock."""

    @staticmethod
    def monotonic() -> float:
        """Return the clock of the process that asks."""
        process = _running.get()
        return asyncio.get_running_loop().time() if process is None else process.now()
