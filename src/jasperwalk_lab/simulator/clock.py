"""Virtual time: an event loop that never waits, and processes that drift, freeze and die.

The loop runs the product's asyncio code unchanged. When no callback is ready, it advances its
clock to the next timer instead of sleeping. Every callback belongs to the process in whose
context it was created. So the callbacks of a frozen process are deferred until it is resumed,
and those of a killed process are dropped, wherever its code was suspended.
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
"""Virtual time at the start of a run; not zero, so that no age reaches back before zero."""
MIN_WAIT_SECONDS = 1e-4
"""Resolution of timers, as on a real machine. Without it, a process with a drifting clock would
approach a deadline in ever smaller steps and never reach it."""
TURNS_UNTIL_TIME_ADVANCES = 1_000
"""Loop iterations without a wait after which time advances, as on a real machine. A deadline may
be due in one computation and, by rounding, not yet in another; a process that polls for it would
otherwise loop for ever."""
MAX_TURNS_WITHOUT_WAIT = 100_000
"""Loop iterations without a wait after which the run fails, as some process never waits."""
DISK_SYNC_SECONDS = (0.001, 0.02)
"""Minimum and maximum duration of a sync of a simulated disk."""

_running: contextvars.ContextVar[SimulatedProcess | None] = contextvars.ContextVar(
    "running", default=None
)


class SimulatedProcess:
    """One process of the fleet: its clock, its randomness, and whether it runs.

    `drift` is the fraction by which its clock is fast (negative: slow). `world` gives the
    substitutes for sockets and disks access to the run, through the running process.
    """

    def __init__(self, name: str, zone: str, world: Any, drift: float = 0.0) -> None:
        self.name = name
        self.world = world
        self.zone = zone
        self.drift = drift
        self.alive = True
        self.frozen = False
        self.machine_lost = False
        """Whether the machine failed with the process, so that no kernel resets its connections."""
        self.random: Random = Random(f"{name}")
        self._waiting: list[_DeferredCallback] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._context = contextvars.copy_context()
        self._context.run(_running.set, self)

    def now(self) -> float:
        """Return the time of this process's own, drifting clock, seconds."""
        true_seconds = asyncio.get_running_loop().time()
        return true_seconds + self.drift * (true_seconds - CLOCK_START_SECONDS)

    def start(self, job: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a coroutine in this process."""
        return self._context.copy().run(asyncio.get_running_loop().create_task, job)

    def call(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Schedule a function in this process; it does not run if the process is dead by then."""
        asyncio.get_running_loop().call_soon(function, *arguments, context=self._context.copy())

    def run(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Run a function in this process immediately."""
        return self._context.copy().run(function, *arguments)

    def hold_task(self, task: asyncio.Task[Any]) -> None:
        """Keep a reference to a task until it ends.

        A task of a killed process must not be collected, which would run its `finally` blocks.
        """
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard, context=contextvars.Context())

    def freeze(self) -> None:
        """Suspend the process, as SIGSTOP does."""
        self.frozen = True

    def thaw(self) -> None:
        """Resume the process, as SIGCONT does; deferred callbacks run now, in their order."""
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
        """Run a callback, defer it while the process is frozen, or drop it once it is dead."""
        if not self.alive:
            return
        if self.frozen:
            context = contextvars.copy_context()
            self._waiting.append(_DeferredCallback(callback, arguments, handle, context))
            return
        callback(*arguments)


class _HandleCell:
    """Holds the handle of a callback, so that a deferred one can see whether it was cancelled."""

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
        """Run the callback, unless it was cancelled in the meantime."""
        if self.cell.handle is None or not self.cell.handle.cancelled():
            self.callback(*self.arguments)


class _VirtualTimeSelector(selectors.SelectSelector):
    """A selector that never waits, but adds up the time that the loop wanted to wait."""

    def __init__(self) -> None:
        super().__init__()
        self.waited_seconds = 0.0
        self._turns = 0
        """Loop iterations since the last one that would have waited."""

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return no events immediately, and advance the virtual time by `timeout`."""
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
    """A deterministic event loop on virtual time: equal calls give the same order of callbacks."""

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
        """Schedule a callback, subject to the state of the process that it belongs to."""
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
        """Schedule a callback at a time, subject to the state of its process."""
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
        """Call the function after the duration of a disk sync; no thread is started.

        If the function is a method of an object with a method `begin`, that is called first, so
        that a crash during the sync can leave partial work.
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
    """Return the running process; raise `LookupError` outside of any."""
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
    """Replaces the module `time` in product modules by the clock of the running process."""

    @staticmethod
    def monotonic() -> float:
        """Return the time of the calling process's clock."""
        process = _running.get()
        return asyncio.get_running_loop().time() if process is None else process.now()
