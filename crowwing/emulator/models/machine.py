"""A backend's machine: a reading line, cores that all runs share, memory, and the crowd it dies of. Pure.

Facts from the platform's pages: reading a ticket costs part of its work whatever is decided; runs share the
cores, and past a crowd all get slower; a fresh machine is cold; work at a call holds its memory but no
core; a machine dies when the runs on its cores, in the mean of some seconds, are over a multiple of the
cores (less while cold), or when more memory is booked than it has. Moments come from next_at(); happened()
then says what they brought.
"""

from collections import deque
from typing import NamedTuple

from crowwing.emulator.models.sharing import NEVER, Mean, Sharing, Warming
from crowwing.emulator.plan import MachineFacts

BOOKED_AFTER = 100_000  # microseconds after it is written from which a ticket counts against the memory


class Happened(NamedTuple):
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

    def __init__(self, now: int, facts: MachineFacts, speed: float, cold: bool) -> None:
        self.facts, self.own_speed, self.born = facts, speed, now
        span = round(facts.cold_s * 1e6) if cold else 0
        self.warming = Warming(now, span, facts.cold_from)
        self.cores = Sharing(now, facts.cores, self.warming, facts.crowd_from, facts.crowd_cost)
        self.cores.speed = speed
        self.line: deque[tuple[str, float]] = deque()  # emptied by reading
        self.runs: dict[str, Run] = {}  # emptied by ends and stops
        self.booked: dict[str, float] = {}  # held tickets, by what they book; emptied by answers and runs
        self.crowd = Mean(now, round(facts.fall_s * 1e6))
        self.held_kb = 0.0
        self.fallen: str | None = None
        self.reading = 0

    # Faults

    def slow(self, now: int, factor: float) -> None:
        """All runs at `factor` times the speed; 0 hangs them."""
        self.cores.set_speed(now, self.own_speed * factor)

    # Tickets

    def arrive(self, now: int, ident: str, work: float) -> None:
        """A ticket has come to the machine and waits to be read."""
        self.line.append((ident, work * self.facts.read_part))
        self._read(now)

    def book(self, ident: str, kb: float) -> None:
        self.booked[ident] = kb
        self.held_kb += kb
        self._weigh()

    def unbook(self, ident: str) -> None:
        """It was answered or given up."""
        self.held_kb -= self.booked.pop(ident, 0.0)

    def _weigh(self) -> None:
        if self.held_kb > self.facts.memory_kb:
            self.fallen = self.fallen or "memory"

    # Runs

    def launch(self, now: int, ident: str, kb: float, work: float, calls_after: float | None) -> None:
        """`calls_after`: the part of the work that is done before a call, None without one."""
        first = work if calls_after is None else work * calls_after
        self.runs[ident] = Run(now, kb, first, None if calls_after is None else work - first)
        self.held_kb += kb * self.facts.run_factor - self.booked.pop(ident, 0.0)
        self._weigh()
        self.cores.add(now, ident, first)
        self._crowd(now)

    def deliver(self, now: int, ident: str) -> bool:
        """The reply to its call is there: it goes on. Whether it waited for one."""
        run = self.runs.get(ident)
        if run is None or not run.calling:
            return False
        run.calling = False
        self.cores.add(now, ident, run.second)
        run.second = None
        self._crowd(now)
        return True

    def stop(self, now: int, ident: str) -> int | None:
        """Takes it off at once; for how long it ran, None if it did not."""
        run = self.runs.pop(ident, None)
        if run is None:
            return None
        if ident in self.cores.ends:
            self.cores.remove(now, ident)
        self.held_kb -= run.kb * self.facts.run_factor
        self._crowd(now)
        self._read(now)
        return now - run.began

    def on_cores(self) -> int:
        return len(self.cores) - self.reading

    # Time

    def next_at(self) -> int:
        return min(self.cores.next_at(), self._falls_at())

    def happened(self, now: int) -> list[Happened]:
        """All that is over at `now`."""
        found: list[Happened] = []
        while (job := self.cores.ended(now)) is not None:
            if isinstance(job, tuple):
                self.reading -= 1
                found.append(Happened("read", job[1]))
                self._read(now)
                continue
            run = self.runs[job]
            if run.second is not None:
                run.calling = True
                found.append(Happened("calls", job))
            else:
                found.append(Happened("ended", job))
            self._crowd(now)
        self.cores.pass_to(now)
        if self.fallen is None and self.crowd.mean(now) > self.crowd_most(now):
            self.fallen = "crowd"
        if self.fallen is not None:
            found.append(Happened("fell", self.fallen))
        return found

    def crowd_most(self, now: int) -> float:
        return self.facts.cores * (1 + (self.facts.fall_multiple - 1) * self.warming.at(now))

    def _crowd(self, now: int) -> None:
        self.crowd.set(now, self.on_cores())

    def _falls_at(self) -> int:
        """A moment to look at the crowd again while it is over what may stay."""
        if self.on_cores() <= self.crowd_most(self.cores.now):
            return NEVER
        return self.cores.now + self.crowd.span // 20

    def _read(self, now: int) -> None:
        """At most one a core at a time, in the order in which they came."""
        while self.line and self.reading < self.facts.cores:
            ident, work = self.line.popleft()
            self.cores.add(now, ("read", ident), work)
            self.reading += 1
