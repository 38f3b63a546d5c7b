"""What a backend holds and knows, how a ticket moves in it, and how it is answered."""

from collections import deque
from random import Random

from crowwing.contract import Halt, Id, Premises, Repeat, Result, Step
from crowwing.logic.feedback import ENOUGH, SAMPLES, LimitLoop
from crowwing.logic.request_handle import ASKING, CALLING, HELD, OVER, PAUSED, RUNNING, Ticket
from crowwing.ranked_window import RankedWindows

WAKE_EVERY, WAKE_QUIET = 40_000, 200_000  # the watch over outer limits and gauges; with no ticket open
LIMIT_GAINS = 12, 0.5, 0.6, 0.05  # climb, proportional, integral and derivative, in cores
SURVIVE = 0.75  # part of the deadly crowd, memory or calls used
STALL = 6  # usual times between two moves of runs, without one, from which work is taken for hung
SICK, PROBE = 0.25, 0.1  # error rate from which work is sent elsewhere, and the part still tried
AWAY_FROM, AWAY_CUT = 0.2, 2.0  # stay-away advice, in parts of the longest: least, and with the cut
AGAIN = 0.2  # later tries for each ticket dismissed, under which a full table shelters from nothing
SPREAD = 0.5  # part of arrivals dismissed of late, from which no other backend is named
CALL_PATIENCE, CALL_LEAST = 20, 8  # the bound of a call in recent medians: most, least
CALL_BURST, CALL_BURST_MOST, CALL_PACE = 0.25, 0.6, 0.3  # parts of the share: at once (most), and for good


class Books:
    """The state of one backend, its bounds, and its answers."""

    def __init__(self, facts: Premises, now: int, chance: Random) -> None:
        self.facts, self.random = facts, chance.random
        self.open: dict[Id, Ticket] = {}  # emptied by each ticket's end
        self.arrivals: list[Ticket] = []  # read since the last turn, which empties it
        self.queues: list[list[Ticket]] = [[] for _ in facts.types]  # emptied by release and timeout
        self.asking: list[Ticket] = []  # at a call that is not out yet; emptied by calls and bounds
        self.kept: dict[Id, int] = {}  # entry -> when it runs out, which empties it
        self.unrun: set[Id] = set()  # let go without a run in this turn, whose end empties it
        self.lingering: deque[int] = deque()  # calls given up; emptied as they leave
        self.counts = [0] * 8  # open tickets by state
        self.born = self.last_step = self.next_watch = self.next_wake = self.moved = self.faded = now
        self.memory = self.cut = self.cut_base = self.waited = 0.0
        self.errors = self.on_cores = self.busy = self.unread = self.read_rate = self.spent = self.shed = 0.0
        self.limit, self.stretch, self.call_late, self.pace = float(facts.cores), 1.0, 0.0, 0.0
        self.calls = deque([facts.calls_over // (8 * CALL_PATIENCE)] * ENOUGH, 2 * ENOUGH)  # times of calls
        self.limit_loop = LimitLoop(*LIMIT_GAINS)
        self.runs: RankedWindows[int] = RankedWindows(len(facts.types), SAMPLES)  # times of ended runs
        self.timeout = [t.expected_time for t in facts.types]
        self.span = self.timeout[:]  # the time that tickets come with
        self.median, self.usual = [0] * len(facts.types), [0.0] * len(facts.types)  # usual: uncrowded ones
        self.most_calls = self.call_room = max(facts.cores / 2, SURVIVE * facts.calls_share)
        total = facts.calls_share * facts.calls_over  # call time that the rule leaves us in its span
        self.burst = max(CALL_BURST * total, min(2.0 * facts.lingers, CALL_BURST_MOST * total))
        self.call_pace = max(CALL_PACE * total, SURVIVE * total - self.burst) / max(1, facts.calls_over)
        # Tickets of each customer of late, in units of one that comes now: those grow, so that nothing fades
        # by itself and a ticket costs the same among all customers; emptied as a customer stays away.
        self.flow: dict[int, float] = {}
        self.flow_unit, self.flow_at = 1.0, now
        self.ready, self.idle, self.told, self.returning = True, facts.idle_most, -1.0, 1.0
        self.weights: dict[int, float] = {}  # tickets by caller, of late; fades away
        self.bounds: list[dict[int, float]] = [{} for _ in facts.types]  # eight at most a type; they fade
        self.again = self.turned = 0.0  # parts of some hundred arrivals: later tries, dismissed
        self.came = self.notice = self.stop = self.call_usual = self.ended_calls = 0
        self.below_time = 0.0  # call time spent since the start, for whoever lends what is left of it
        self.call_part, self.parts = 1.0, [1.0] * len(facts.shares)  # of the fleet's, in even parts

    def used(self) -> float:
        return self.memory + len(self.kept) * self.facts.key_kb

    def keep(self, t: Ticket, now: int, span: int, out: list[Result]) -> bool:
        if span <= 0:
            if self.kept.pop(t.id, None) is not None:
                out.append((Step.FORGET, t, 0))
        elif t.id in self.kept or self.room_for_entry():
            self.kept[t.id] = now + span
            out.append((Step.KEEP, t, span))
        return span > 0 and t.id in self.kept

    def final(self) -> bool:
        """Whether a dismissal here is the end of its ticket: hardly as many come again as are dismissed."""
        return self.again < AGAIN * self.turned

    def room_for_entry(self) -> bool:
        """Whether one more entry leaves a third of the memory to work. Guards against entries, which go only
        as windows end, shutting out redoable tickets. Could harm where a window's keys need more."""
        most, more = SURVIVE * self.facts.memory_kb, self.facts.key_kb
        return self.used() + more <= most and (len(self.kept) + 1) * more <= most * 2 / 3

    def lined_up(self, t: Ticket) -> bool:
        """Whether the ticket would wait in a line before what lies below, and cannot go without."""
        return t.type.calls and t.type.credit_without == 0 and len(self.asking) >= self.facts.cores

    def speed(self, now: int) -> float:
        """The least share of its speed that this backend can have now."""
        warm = (now - self.born) / self.facts.cold_for if self.facts.cold and self.facts.cold_for else 1.0
        return self.facts.cold_from + (1 - self.facts.cold_from) * min(1.0, warm)

    def ceiling(self, now: int) -> int:
        """The crowd on the cores that is never passed; cold cores survive less."""
        return max(1, int(SURVIVE * self.facts.cores * (1 + (self.facts.crowd - 1) * self.speed(now))))

    def crowded(self, now: int) -> bool:
        return self.counts[RUNNING] + self.counts[CALLING] >= self.ceiling(now)

    def progress(self, now: int) -> None:
        self.pace += 0.05 * (now - self.moved - self.pace)
        self.moved = now

    def stalled(self, now: int) -> bool:
        """Guards against hung work: cores are full, and no run moved for half the time tickets come with and
        six usual times (two cores pause by chance), more of it while cold. Covers slowness too; harms where
        runs are as long."""
        long = max(min(self.span) / 2, STALL * self.pace) / self.speed(now)
        return self.counts[RUNNING] >= self.facts.cores and now - self.moved > long

    def sick(self, now: int) -> bool:
        return self.errors > SICK or self.stalled(now)

    def dismiss(self, t: Ticket, now: int, out: list[Result], elsewhere: bool | None = None) -> None:
        """A final no, with advice: how long to stay away, and whether another backend may do better."""
        if t.ran and t.type.repeat is not Repeat.REDOABLE or t.state == PAUSED:
            return self.forfeit(t, now, out)
        self.keep(t, now, 0, out)
        self.shed += 0.05
        self.turned += 0.005
        local = bool(elsewhere) or self.sick(now) or self.notice > 0
        line = self.busy < 0.9 and self.lined_up(t)  # no reason to stay away: other types have room
        part = 1.0 if local else 0.0 if line else min(1.0, AWAY_FROM + AWAY_CUT * self.cut)
        if elsewhere is None:  # the fewer are dismissed here, the likelier others have room
            local |= self.random() > self.shed / SPREAD
        out.append((Step.DISMISS if local else Step.DISMISS_ALL, t, round(self.facts.stay_away_most * part)))
        t.answered = True
        self.unrun.add(t.id)
        return self.close(t)

    def forfeit(self, t: Ticket, now: int, out: list[Result]) -> None:
        """A final error for what may have run; its work is stopped where that can be done."""
        out.append((Step.FORFEIT, t, 0))
        t.answered = True
        if t.state == RUNNING:
            self.halt(t, now, out)
        elif t.state not in (ASKING, CALLING):
            self.close(t)

    def halt(self, t: Ticket, now: int, out: list[Result]) -> None:
        if self.facts.halt is not Halt.NONE:
            t.halted = now
            out.append((Step.HALT, t, 0))

    def move(self, t: Ticket, state: int, keeps_weight: bool = False) -> None:
        """Takes a ticket to another state, its place and its memory with it."""
        if t.state in (HELD, PAUSED):
            self.queues[t.kind].remove(t)
        elif t.state == ASKING:
            self.asking.remove(t)
        self.counts[t.state] -= 1
        t.state = state
        self.counts[state] += 1
        if state in (HELD, PAUSED):
            self.queues[t.kind].append(t)
        elif state == ASKING:
            self.asking.append(t)
        if not keeps_weight:
            weight = t.kb * (self.facts.run_factor if state == RUNNING else state != OVER)
            self.memory += weight - t.weight
            t.weight = weight

    def close(self, t: Ticket) -> None:
        self.move(t, OVER)
        t.closed = True
        self.open.pop(t.id, None)
