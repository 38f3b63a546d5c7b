"""A backend's machine: a reading line, cores that all runs share, memory, and the crowd it dies of. Pure.

Facts from the platform's pages: reading a ticket costs part of its work whatever is decided; runs share the
cores, and past a crowd all get slower; a fresh machine is cold; work at a call holds its memory but no
core; a machine dies when the runs on its cores, in the mean of some seconds, are over a multiple of the
cores (less while cold), or when more memory is booked than it has. Moments come from next_at(); happened()
then says what they brought.
"""

from collections import deque
from typing import NamedTuple

from crowwing.emulator.models.processor_sharing import NEVER, ProcessorSharing, SlidingMean, WarmUp
from crowwing.emulator.plan import MachineSettings

RESERVE_DELAY_US = 100_000  # microseconds after it is written from which a ticket counts against the memory


class MachineEvent(NamedTuple):
    """`what`: "read" (it can be written to the backend), "calls", "ended" or "fell" (`ident`: of what)."""

    what: str
    ident: str


class Run:
    __slots__ = ("kb", "first", "second", "began", "calling")

    def __init__(self, now: int, kb: float, first: float, second: float | None) -> None:
        """`second`: the work after the call; None where none is made."""
        self.kb, self.first, self.second, self.began, self.calling = kb, first, second, now, False


class Machine:
    """Of one life; a killed one is thrown away."""

    def __init__(self, now: int, settings: MachineSettings, speed: float, cold: bool) -> None:
        self.settings, self.base_speed, self.born = settings, speed, now
        span = round(settings.cold_s * 1e6) if cold else 0
        self.warm_up = WarmUp(now, span, settings.cold_from)
        self.cores = ProcessorSharing(
            now, settings.cores, self.warm_up, settings.crowd_from, settings.crowd_cost
        )
        self.cores.speed = speed
        self.read_queue: deque[tuple[str, float]] = deque()  # emptied by reading
        self.runs: dict[str, Run] = {}  # emptied by ends and stops
        self.reserved_kb: dict[
            str, float
        ] = {}  # held tickets, by what they book; emptied by answers and runs
        self.mean_running = SlidingMean(now, round(settings.fall_s * 1e6))
        self.used_kb = 0.0
        self.failure: str | None = None
        self.reading = 0

    # Faults

    def set_speed_factor(self, now: int, factor: float) -> None:
        """All runs at `factor` times the speed; 0 hangs them."""
        self.cores.set_speed(now, self.base_speed * factor)

    # Tickets

    def enqueue(self, now: int, ident: str, work: float) -> None:
        """A ticket has come to the machine and waits to be read."""
        self.read_queue.append((ident, work * self.settings.read_part))
        self._start_reads(now)

    def reserve(self, ident: str, kb: float) -> None:
        self.reserved_kb[ident] = kb
        self.used_kb += kb
        self._check_memory()

    def release(self, ident: str) -> None:
        """It was answered or given up."""
        self.used_kb -= self.reserved_kb.pop(ident, 0.0)

    def _check_memory(self) -> None:
        if self.used_kb > self.settings.memory_kb:
            self.failure = self.failure or "memory"

    # Runs

    def launch(self, now: int, ident: str, kb: float, work: float, calls_after: float | None) -> None:
        """`calls_after`: the part of the work that is done before a call, None without one."""
        first = work if calls_after is None else work * calls_after
        self.runs[ident] = Run(now, kb, first, None if calls_after is None else work - first)
        self.used_kb += kb * self.settings.run_factor - self.reserved_kb.pop(ident, 0.0)
        self._check_memory()
        self.cores.add(now, ident, first)
        self._update_running(now)

    def deliver(self, now: int, ident: str) -> bool:
        """The reply to its call is there: it goes on. Whether it waited for one."""
        run = self.runs.get(ident)
        if run is None or not run.calling:
            return False
        run.calling = False
        self.cores.add(now, ident, run.second)
        run.second = None
        self._update_running(now)
        return True

    def stop(self, now: int, ident: str) -> int | None:
        """Takes it off at once; for how long it ran, None if it did not."""
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
        """All that is over at `now`."""
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
        """A moment to look at the crowd again while it is over what may stay."""
        if self.on_cores() <= self.max_running(self.cores.now):
            return NEVER
        return self.cores.now + self.mean_running.span // 20

    def _start_reads(self, now: int) -> None:
        """At most one a core at a time, in the order in which they came."""
        while self.read_queue and self.reading < self.settings.cores:
            ident, work = self.read_queue.popleft()
            self.cores.add(now, ("read", ident), work)
            self.reading += 1
