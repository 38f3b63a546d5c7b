"""A backend's machine: read queue, shared cores, memory, and failure by overload. Free of I/O.

As documented for the platform: reading a request costs part of its work whatever is decided; runs share
the cores and slow down when there are too many; a new machine warms up; a run that waits for a downstream
call holds its memory but no core. A machine fails when the mean number of runs on its cores over some
seconds exceeds a multiple of the cores (a smaller one during warm-up), or when more memory is reserved than
it has. next_at() gives the time of the next event, process_events() the events due.
"""

from collections import deque
from typing import NamedTuple

from crowwing.emulator.models.processor_sharing import NEVER, ProcessorSharing, SlidingMean, WarmUp
from crowwing.emulator.plan import MachineSettings

RESERVE_DELAY_US = 100_000  # microseconds after sending from which a request counts towards the memory


class MachineEvent(NamedTuple):
    """`what` is "read" (can be sent to the backend), "calls", "ended" or "fell" (`ident`: the cause)."""

    what: str
    ident: str


class Run:
    __slots__ = ("kb", "first", "second", "began", "calling")

    def __init__(self, now: int, kb: float, first: float, second: float | None) -> None:
        """`second` is the work after the downstream call; None if there is none."""
        self.kb, self.first, self.second, self.began, self.calling = kb, first, second, now, False


class Machine:
    """The machine of one incarnation; a killed one is discarded."""

    def __init__(self, now: int, settings: MachineSettings, speed: float, cold: bool) -> None:
        self.settings, self.base_speed, self.born = settings, speed, now
        span = round(settings.cold_s * 1e6) if cold else 0
        self.warm_up = WarmUp(now, span, settings.cold_from)
        self.cores = ProcessorSharing(
            now, settings.cores, self.warm_up, settings.crowd_from, settings.crowd_cost
        )
        self.cores.speed = speed
        self.read_queue: deque[tuple[str, float]] = deque()
        self.runs: dict[str, Run] = {}
        self.reserved_kb: dict[str, float] = {}  # by request, until it is answered or runs
        self.mean_running = SlidingMean(now, round(settings.fall_s * 1e6))
        self.used_kb = 0.0
        self.failure: str | None = None
        self.reading = 0

    # Faults

    def set_speed_factor(self, now: int, factor: float) -> None:
        """Runs everything at `factor` times the speed; 0 hangs it."""
        self.cores.set_speed(now, self.base_speed * factor)

    # Requests

    def enqueue(self, now: int, ident: str, work: float) -> None:
        """Queues a request that has arrived until it is read."""
        self.read_queue.append((ident, work * self.settings.read_part))
        self._start_reads(now)

    def reserve(self, ident: str, kb: float) -> None:
        self.reserved_kb[ident] = kb
        self.used_kb += kb
        self._check_memory()

    def release(self, ident: str) -> None:
        """Frees the memory of a request that was answered or cancelled."""
        self.used_kb -= self.reserved_kb.pop(ident, 0.0)

    def _check_memory(self) -> None:
        if self.used_kb > self.settings.memory_kb:
            self.failure = self.failure or "memory"

    # Runs

    def launch(self, now: int, ident: str, kb: float, work: float, calls_after: float | None) -> None:
        """`calls_after` is the part of the work done before the downstream call; None without one."""
        first = work if calls_after is None else work * calls_after
        self.runs[ident] = Run(now, kb, first, None if calls_after is None else work - first)
        self.used_kb += kb * self.settings.run_factor - self.reserved_kb.pop(ident, 0.0)
        self._check_memory()
        self.cores.add(now, ident, first)
        self._update_running(now)

    def deliver(self, now: int, ident: str) -> bool:
        """Continues a run after the reply to its call; False if it was not waiting for one."""
        run = self.runs.get(ident)
        if run is None or not run.calling:
            return False
        run.calling = False
        self.cores.add(now, ident, run.second)
        run.second = None
        self._update_running(now)
        return True

    def stop(self, now: int, ident: str) -> int | None:
        """Stops a run at once; returns for how long it ran, or None if it did not run."""
        run = self.runs.pop(ident, None)
        if run is None:
            return None
        if ident in self.cores.ends:
            self.cores.remove(now, ident)
        self.used_kb -= run.kb * self.settings.run_factor
        self._update_running(now)
        self._start_reads(now)
        return now - run.began

    def on_cores(self) -> int:
        return len(self.cores) - self.reading

    # Time

    def next_at(self) -> int:
        return min(self.cores.next_at(), self._overload_check_at())

    def process_events(self, now: int) -> list[MachineEvent]:
        """Returns the events due at `now`."""
        events: list[MachineEvent] = []
        while (job := self.cores.ended(now)) is not None:
            if isinstance(job, tuple):
                self.reading -= 1
                events.append(MachineEvent("read", job[1]))
                self._start_reads(now)
                continue
            run = self.runs[job]
            if run.second is not None:
                run.calling = True
                events.append(MachineEvent("calls", job))
            else:
                events.append(MachineEvent("ended", job))
            self._update_running(now)
        self.cores.advance_to(now)
        if self.failure is None and self.mean_running.mean(now) > self.max_running(now):
            self.failure = "crowd"
        if self.failure is not None:
            events.append(MachineEvent("fell", self.failure))
        return events

    def max_running(self, now: int) -> float:
        return self.settings.cores * (1 + (self.settings.fall_multiple - 1) * self.warm_up.at(now))

    def _update_running(self, now: int) -> None:
        self.mean_running.set(now, self.on_cores())

    def _overload_check_at(self) -> int:
        """Returns when to check for overload again, while more runs are on the cores than allowed."""
        if self.on_cores() <= self.max_running(self.cores.now):
            return NEVER
        return self.cores.now + self.mean_running.span // 20

    def _start_reads(self, now: int) -> None:
        """Starts reading queued requests in order of arrival, at most one per core at a time."""
        while self.read_queue and self.reading < self.settings.cores:
            ident, work = self.read_queue.popleft()
            self.cores.add(now, ("read", ident), work)
            self.reading += 1
