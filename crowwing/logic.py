"""All decisions of a backend: what it takes, runs and turns away. The mechanism is Cinnamon (docs/design.md).

One LoadManager serves one life of one backend, in the types of contract.py. Call begin() once, then for each
moment at which something happened: take() for each ticket read (gives the Ticket on which all its later
news is a call), that news, wake() for the timer asked for, leave() for the notice to stop, and last turn(),
which decides. All but take() return the list of (step, ticket, figure) to carry out, in order. Times are in
microseconds. Drop a ticket once it is `closed`. Nothing here knows a wire or another instance.
"""

from collections import deque
from random import Random

from crowwing.contract import Halt, Id, Outcome, Premises, Repeat, Result, Signal, Step

WAKE_EVERY, WAKE_QUIET = 40_000, 200_000  # the watch over outer limits and gauges; with no ticket open
SAMPLES, ENOUGH = 64, 8  # ended runs a traffic type that its P90 is taken from, and before it counts
CUT_NOW, CUT_RISE, CUT_FALL, CUT_IDLE = 0.4, 0.3, 0.15, 0.5  # gains of the cut's loop: at once, and a second
CUT_FROM, CUT_MOST = 0.6, 5 / 6  # the wait, in timeouts, it is steered to; its end: tier t0 is never cut
STRETCH = 1.3  # the run latency, against an uncrowded one, that the limit is steered to
KP, KI, KD = 0.5, 0.6, 0.05  # the limit's PID, in cores
CLIMB = 12  # times the idle cores that the limit gains a second while work waits
SURVIVE, HOLD = 0.75, 0.3  # part of the deadly crowd, memory or calls used; held tickets a core let come
JAM_OVER, JAM_UNDER = 0.6, 0.3  # unread time, in the time tickets come with: leave the list, come back
STALL = 6  # usual times between two moves of runs, without one, from which work is taken for hung
SICK, PROBE = 0.25, 0.1  # error rate from which work is sent elsewhere, and the part still tried
AWAY_FROM, AWAY_CUT = 0.2, 2.0  # stay-away advice, in parts of the longest: least, and with the cut
CALL_CROWDED = 2.5  # a call's latency against its usual one from which what lies below is crowded
SPREAD = 0.5  # part of arrivals dismissed of late, from which no other backend is named
RETURNING = 0.5  # part of tickets whose caller was here lately, under which idle connections are closed early
CALL_TRIES, CALL_PATIENCE, CALL_LEAST = 3, 20, 8  # tries of a call; its bound in recent medians: most, least
CALL_BURST, CALL_BURST_MOST, CALL_PACE = 0.25, 0.6, 0.3  # parts of the share: at once (most), and for good

NEW, HELD, RUNNING, ASKING, CALLING, PAUSED, SHARING, OVER = range(8)


class Ticket:
    """The handle of one ticket; its news comes as calls."""

    def __init__(self, manager: "LoadManager", op_id: Id, kind: int, kb: float) -> None:
        self.manager, self.id, self.kind, self.kb = manager, op_id, kind, kb
        self.type = manager.facts.types[kind]
        self.state, self.weight, self.crowd = OVER, 0.0, 0.0
        self.answered = self.closed = self.ran = False
        self.asked = self.below = self.tries = self.not_before = self.halted = self.call_until = 0

    def ended(self, now: int, took: int, outcome: Outcome) -> list[Result]:
        """A run or a share is over."""
        m, was = self.manager, self.state
        if self.closed or was not in (RUNNING, ASKING, CALLING, SHARING):
            return []
        m.progress(now)
        if was == CALLING:
            m.lingering.append(now + m.facts.lingers)
        if outcome is Outcome.STOPPED and not self.answered:  # we halted it: back in the hold
            freeze = m.facts.halt is Halt.FREEZE
            m.move(self, PAUSED if freeze else HELD, keeps_weight=freeze)
            return []
        out: list[Result] = []
        if was != SHARING and not self.answered and outcome in (Outcome.GOOD, Outcome.FAILED):
            m.learn(self, took, outcome is Outcome.GOOD)
            if self.id in m.kept and self.type.repeat is Repeat.REDOABLE:  # stays fresh a while
                m.keep(self, now, m.facts.fresh_for if outcome is Outcome.GOOD else 0, out)
        m.close(self)
        return out

    def needs_call(self, now: int) -> list[Result]:
        """The run needs what lies below; it waits outside the limit."""
        if self.state == RUNNING and not self.answered:
            self.asked, self.tries = now, 0
            self.manager.progress(now)
            self.manager.move(self, ASKING, keeps_weight=True)
        return []

    def called(self, now: int, took: int, outcome: Outcome) -> list[Result]:
        """A call came back; after a good one the run goes on by itself."""
        if self.state != CALLING:
            return []
        m, out = self.manager, []
        if outcome is Outcome.UNSURE:
            m.lingering.append(now + m.facts.lingers)
        m.learn_call(took, outcome)
        if outcome is Outcome.GOOD:
            self.below += now - self.asked
            m.move(self, RUNNING, keeps_weight=True)
        elif not self.answered:
            m.move(self, ASKING, keeps_weight=True)
            again = outcome is Outcome.NEVER_RAN or self.type.repeat is Repeat.REDOABLE
            if self.type.credit_without > 0:
                m.go_on(self, now, out)
            elif again and self.tries < CALL_TRIES:
                self.not_before = now + m.call_usual
            else:
                m.forfeit(self, now, out)
        return out

    def gone(self, now: int) -> list[Result]:
        """The caller has given up; nothing is owed any more."""
        if self.closed or self.answered:
            return []
        self.answered, out = True, []
        if self.state in (NEW, HELD, PAUSED, SHARING):
            if not self.ran:  # a repeat read in this moment may run in its place
                self.manager.unrun.add(self.id)
                self.manager.keep(self, now, 0, out)
            self.manager.close(self)
        elif self.state == RUNNING and self.type.repeat is Repeat.REDOABLE:
            self.manager.halt(self, now, out)
        return out


class LoadManager:
    """Decides for one backend."""

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
        self.memory = self.cut = self.cut_base = self.last_error = self.error_before = self.waited = 0.0
        self.errors = self.on_cores = self.busy = self.unread = self.read_rate = self.spent = self.shed = 0.0
        self.limit, self.stretch, self.call_late, self.pace = float(facts.cores), 1.0, 0.0, 0.0
        self.calls = deque([facts.calls_over // (8 * CALL_PATIENCE)] * ENOUGH, 2 * ENOUGH)  # times of calls
        self.runs: list[deque[int]] = [deque(maxlen=SAMPLES) for _ in facts.types]
        self.timeout = [t.expected_time for t in facts.types]
        self.span = self.timeout[:]  # the time that tickets come with
        self.median, self.usual = [0] * len(facts.types), [0.0] * len(facts.types)  # usual: uncrowded ones
        self.most_calls = self.call_room = max(facts.cores / 2, SURVIVE * facts.calls_share)
        total = facts.calls_share * facts.calls_over  # call time that the rule leaves us in its span
        self.burst = max(CALL_BURST * total, min(2.0 * facts.lingers, CALL_BURST_MOST * total))
        self.call_pace = max(CALL_PACE * total, SURVIVE * total - self.burst) / max(1, facts.calls_over)
        self.budget, self.budget_at = [float(quota) for quota in facts.shares], now  # a second of each share
        self.ready, self.idle, self.told, self.returning = True, facts.idle_most, -1.0, 1.0
        self.weights: dict[int, float] = {}  # tickets by caller, of late; fades away
        self.notice = self.stop = self.call_usual = self.ended_calls = 0
        self.below_time = 0.0  # call time spent since the start, for whoever lends what is left of it
        self.call_part, self.parts = 1.0, [1.0] * len(facts.shares)  # of the fleet's, in even parts

    # What comes in

    def begin(self, now: int) -> list[Result]:
        return [(Step.READY, None, 0)]

    # fmt: off
    def take(self, now: int, op_id: Id, kind: int, team: int, rank: float, kb: float, arrived: int, due: int,
             by: int, repeats: Id, key: Id, write: bool, again: bool = False) -> Ticket:
        # fmt: on
        """A ticket has been read; `due` is 0 where its caller's patience is not told. `again`: what is likely
        a repeat in a storm, though nothing marks it; its rank counts as one beyond its customer's share."""
        t = Ticket(self, op_id, kind, kb)
        t.rank = rank * (self.facts.over_share_credit if again else 1.0)
        t.team, t.arrived, t.repeats, t.key, t.write = team, arrived, repeats, key, write
        t.due = max(now, due or arrived + t.type.outer_limit)
        t.aim = min(t.due, arrived + t.type.expected_time)
        self.span[kind] += round(0.05 * (t.aim - arrived - self.span[kind]))
        self.unread += 0.1 * (now - arrived - self.unread)
        self.returning += 0.02 * ((by in self.weights) - self.returning)
        self.shed *= 0.95
        self.weights[by] = self.weights.get(by, 0.0) + 1.0
        self.open[op_id] = t
        self.arrivals.append(t)
        self.move(t, NEW)
        return t

    def leave(self, now: int, stop: int) -> list[Result]:
        """The notice to leave: the process is stopped at `stop`."""
        self.notice, self.stop = now, stop
        out: list[Result] = [(Step.UNREADY, None, 0)]
        self.tell(now, out)
        return out

    def wake(self, now: int, gauges: dict[str, float]) -> list[Result]:
        out: list[Result] = []
        passed, running = now - self.last_step, self.counts[RUNNING]
        self.on_cores += min(1.0, passed / 60_000) * (gauges.get("on_cores", running) - self.on_cores)
        self.busy = gauges.get("core_use", 1.0)
        if self.on_cores < self.facts.cores / 2:  # cores with room read at once
            self.unread *= max(0.0, 1 - passed / 200_000)
        self.steer(now)
        # Guards against a reading line that tickets leave too old to run: no answer, so no advice, in time;
        # only the list is. Should also cover pauses and floods. Could do harm where all leave it in step.
        jammed = self.unread > (JAM_OVER if self.ready else JAM_UNDER) * min(self.span) or self.sick(now)
        if jammed == self.ready and not self.notice:
            self.ready = not jammed
            out.append((Step.READY if self.ready else Step.UNREADY, None, 0))
        self.tell(now, out)
        # Guards against a table of connections full of callers that don't come back: others find no room.
        # Should also cover restarts. Could do harm where opening one is dear. Full cores close none.
        idle = self.facts.idle_most // (1 if self.returning > RETURNING or self.busy > 0.8 else 3)
        if idle != self.idle:
            self.idle = idle
            out.append((Step.IDLE, None, idle))
        return out

    def allot(self, calls: float, shares: list[float]) -> None:
        """What this backend has of the fleet's pace of calls and of each customer's share, in even parts; the
        burst stays its own, so that what one lends and another borrows of the pace adds up to the same."""
        self.call_part, self.parts = calls, shares
        self.most_calls = max(self.facts.cores / 2, SURVIVE * self.facts.calls_share * calls)

    def taught(self, now: int, kinds: tuple[tuple[int, int], ...], limit: float, call: int) -> None:
        """What others have learned, as a start; nothing that was measured here is touched."""
        for k, (timeout, middle) in enumerate(kinds):
            if len(self.runs[k]) < ENOUGH and timeout > 0:
                self.timeout[k], self.median[k] = min(timeout, self.span[k]), middle
        if not any(self.runs):
            self.limit = min(max(limit, float(self.facts.cores)), self.ceiling(now))
        if call > 0 and not self.ended_calls:
            self.call_usual, self.call_late, self.ended_calls = call, float(call), ENOUGH
            self.calls.extend([call] * ENOUGH)

    # The ordinary path

    def turn(self, now: int) -> list[Result]:
        """Everything that happened now is known: judge arrivals, the hold and calls, and start what fits."""
        out: list[Result] = []
        if now >= self.next_watch:
            self.watch(now, out)
        for t in self.arrivals:
            if t.closed or self.seen_before(t, now, out):
                continue
            t.rank *= self.share_left(t, now)
            full = self.used() > SURVIVE * self.facts.memory_kb or self.lined_up(t)
            if self.barred(t, now):
                self.dismiss(t, now, out, elsewhere=True)
            elif t.rank < self.cut or full or not self.keepable(t, now, out):
                self.dismiss(t, now, out)
            else:
                self.move(t, HELD)
        self.arrivals.clear()
        for queue in self.queues:
            for t in queue[:]:
                if now >= self.patience(t) or self.stalled(now):
                    self.waited = max(self.waited, (now - t.arrived) / max(1, self.timeout[t.kind]))
                    self.dismiss(t, now, out)
        for t in sorted((t for queue in self.queues for t in queue), key=lambda t: -t.rank):
            if self.counts[RUNNING] >= int(self.limit) or self.crowded(now):
                break
            if not self.fits(t):
                continue
            if self.facts.fresh_for and t.key and not t.write and t.type.repeat is Repeat.REDOABLE:
                self.keep(t, now, t.due - now + self.facts.fresh_for, out)
            t.ran, t.below, t.crowd = True, 0, max(self.counts[RUNNING], self.on_cores)
            self.moved = self.moved if self.counts[RUNNING] else now
            self.move(t, RUNNING)
            out.append((Step.RUN, t, 0))
        self.ask_below(now, out)
        self.unrun.clear()
        self.rest(now, out)
        return out

    def rest(self, now: int, out: list[Result]) -> None:
        """Wakes soon while a ticket is open, seldom while none is; a wake asked for cannot be taken back."""
        span = WAKE_EVERY if self.open else WAKE_QUIET
        if not now < self.next_wake <= now + span:
            self.next_wake = now + span
            out.append((Step.WAKE, None, span))

    def patience(self, t: Ticket) -> int:
        """Until when a held ticket is worth holding: its queue timeout, and while an answer can earn."""
        if t.ran and t.type.repeat is not Repeat.REDOABLE:
            return t.due
        return min(t.arrived + self.timeout[t.kind], t.aim - self.median[t.kind] // 2)

    def fits(self, t: Ticket) -> bool:
        """Whether memory and the line before what lies below leave room for one more run."""
        more = 0.0 if t.state == PAUSED else t.kb * (self.facts.run_factor - 1)
        return not self.lined_up(t) and self.used() + more <= SURVIVE * self.facts.memory_kb

    def lined_up(self, t: Ticket) -> bool:
        """Whether the ticket would wait in a line before what lies below, and cannot go without."""
        return t.type.calls and t.type.credit_without == 0 and len(self.asking) >= self.facts.cores

    # Feedback

    def steer(self, now: int) -> None:
        """One step of the loops: P90s and timeouts, the limit, the cut, the free value."""
        f, dt = self.facts, (now - self.last_step) / 1e6
        below = self.counts[CALLING] + len(self.lingering)
        self.below_time += dt * 1e6 * below
        self.spent = max(0.0, self.spent + dt * 1e6 * (below - self.call_pace * self.call_part))
        self.last_step = now
        if now - self.faded >= WAKE_QUIET:
            left, self.faded = max(0.0, 1 - (now - self.faded) / 1e6), now
            self.weights = {by: left * w for by, w in self.weights.items() if w > 0.01}
            self.read_rate = sum(self.weights.values())
        error = STRETCH - self.stretch - self.errors
        idle = f.cores - self.on_cores
        if (self.counts[HELD] or self.counts[PAUSED]) and idle > 0:
            self.limit += CLIMB * idle * min(dt, 0.1)
        elif error < 0:
            first, second = error - self.last_error, error - 2 * self.last_error + self.error_before
            self.limit += f.cores * (KP * first + KI * error * dt + KD * second)
        self.last_error, self.error_before = error, self.last_error
        most = self.ceiling(now)
        stuck = self.limit >= most or (error <= 0 and idle <= 0) or idle <= -0.1 * f.cores
        self.limit = min(max(self.limit, f.cores), most)
        waits = [(now - t.arrived) / max(1, self.timeout[t.kind]) for queue in self.queues for t in queue]
        outwait, self.waited = max([self.waited, *waits]), 0.0
        over = min(1.0, outwait - CUT_FROM)
        if over > 0 and self.busy > 0.9 and stuck:
            self.cut_base = min(CUT_MOST, self.cut_base + CUT_RISE * dt * over)
        else:  # waits clear: faster while cores idle
            over = min(over, 0.0)
            self.cut_base = max(0, self.cut_base + dt * (CUT_FALL * over - CUT_IDLE * max(0, idle) / f.cores))
        self.cut = min(CUT_MOST, self.cut_base + CUT_NOW * max(0.0, over))

    def learn(self, t: Ticket, took: int, good: bool) -> None:
        """A run ended by itself. Failed runs are quick: they count as errors, never as latency."""
        self.errors += 0.1 * ((0.0 if good else 1.0) - self.errors)
        if not good:
            return
        k, runs, own, span = t.kind, self.runs[t.kind], took - t.below, self.span[t.kind]
        runs.append(took)
        if len(runs) >= ENOUGH:
            ranked = sorted(runs)
            self.median[k] = ranked[len(ranked) // 2]
            p90 = ranked[len(ranked) * 9 // 10]
            self.timeout[k] = max(span // 8, min(p90, span - p90))
        usual = 0.05 if t.crowd <= self.facts.cores else 0.002
        weight = max(usual, 1 / len(runs) if len(runs) < SAMPLES else 0)
        self.usual[k] += weight * (own - self.usual[k])
        self.stretch += 0.08 * (own / max(1.0, self.usual[k]) - self.stretch)

    def tell(self, now: int, out: list[Result]) -> None:
        """Sets the free value where it moved."""
        f = self.facts
        room = (self.limit + (HOLD - self.cut) * f.cores) * self.speed(now) * (PROBE if self.sick(now) else 1)
        room += self.counts[ASKING] + self.counts[CALLING]
        value = self.level(0.0 if self.notice else room)
        if f.signal is Signal.FLOOR:
            value = 1.0 if self.notice else self.cut
        elif f.signal is Signal.WEIGHT:
            value = 0.0 if self.notice else min(1.0, room / max(1, len(self.open)))
        if f.signal is not Signal.NONE and abs(value - self.told) > 0.05 * max(value, self.told):
            self.told = value
            out.append((Step.FREE_VALUE, None, value))

    def level(self, room: float) -> float:
        """What each caller may have here so that all fill the room, the heaviest giving way first."""
        here = len(self.open) + self.read_rate * self.unread / 1e6  # what lies unread by Little's law
        parts = sorted(self.weights.values())
        scale = here / max(1e-9, sum(parts))
        for n, part in enumerate(parts):
            if part * scale * (len(parts) - n) >= room:
                return room / (len(parts) - n)
            room -= part * scale
        return max(parts, default=0.0) * scale + room

    # Guards

    def speed(self, now: int) -> float:
        """The least share of its speed that this backend can have now."""
        warm = (now - self.born) / self.facts.cold_for if self.facts.cold and self.facts.cold_for else 1.0
        return self.facts.cold_from + (1 - self.facts.cold_from) * min(1.0, warm)

    def progress(self, now: int) -> None:
        self.pace += 0.05 * (now - self.moved - self.pace)
        self.moved = now

    def stalled(self, now: int) -> bool:
        """Guards against hung work: cores are full, and no run moved for half the time tickets come with and
        six usual times (two cores pause by chance). Covers slowness too; harms where runs are as long."""
        long = max(min(self.span) / 2, STALL * self.pace)
        return self.counts[RUNNING] >= self.facts.cores and now - self.moved > long

    def sick(self, now: int) -> bool:
        return self.errors > SICK or self.stalled(now)

    def crowded(self, now: int) -> bool:
        return self.counts[RUNNING] + self.counts[CALLING] >= self.ceiling(now)

    def ceiling(self, now: int) -> int:
        """The crowd on the cores that is never passed; cold cores survive less."""
        return max(1, int(SURVIVE * self.facts.cores * (1 + (self.facts.crowd - 1) * self.speed(now))))

    def barred(self, t: Ticket, now: int) -> bool:
        """What is better off at another backend: after the grace of a drain, and while runs fail here."""
        if self.notice:
            late = now + 2 * self.median[t.kind] + 2 * WAKE_EVERY > self.stop
            return late or t.arrived > self.notice + self.facts.grace
        return self.stalled(now) or (self.errors > SICK and self.random() > PROBE)

    def share_left(self, t: Ticket, now: int) -> float:
        """What a ticket's rank is worth: beyond its customer's share, no more than its credit there."""
        passed, self.budget_at = (now - self.budget_at) / 1e6, now
        for team, quota in enumerate(self.facts.shares):
            rate = 1.3 * quota / max(1, self.facts.fleet) * self.parts[team]
            self.budget[team] = min(max(2.0, 2 * rate), self.budget[team] + rate * passed)
        if not self.budget or self.budget[t.team] < 1:
            return self.facts.over_share_credit if self.budget else 1.0
        self.budget[t.team] -= 1
        return 1.0

    def seen_before(self, t: Ticket, now: int, out: list[Result]) -> bool:
        """Repeats: what has run is shared, and a labelled ticket takes the place of its held earlier try."""
        first = self.open.get(t.repeats)
        if not t.repeats or t.repeats in self.unrun or t.type.repeat is Repeat.IRREVERSIBLE:
            return False
        if first is not None and first.answered and first.type.repeat is Repeat.REDOABLE:
            return False
        if first is not None and first.state in (NEW, HELD) and not first.ran:
            if t.type.repeat is Repeat.LABELLED and first.state == HELD and self.keepable(t, now, out):
                self.kept.pop(first.id, None)
                self.dismiss(first, now, out, elsewhere=False)
            return False
        self.move(t, SHARING)
        t.ran = True
        out.append((Step.SHARE, t, 0))
        return True

    def keepable(self, t: Ticket, now: int, out: list[Result]) -> bool:
        """A labelled ticket is known by its entry once read; without room for one it may not run."""
        if t.type.repeat is not Repeat.LABELLED or t.id in self.kept:
            return True
        span = t.arrived + t.type.window - now + WAKE_EVERY
        return span <= 0 or self.keep(t, now, span, out)

    def keep(self, t: Ticket, now: int, span: int, out: list[Result]) -> bool:
        if span <= 0:
            if self.kept.pop(t.id, None) is not None:
                out.append((Step.FORGET, t, 0))
        elif t.id in self.kept or self.used() + self.facts.key_kb <= SURVIVE * self.facts.memory_kb:
            self.kept[t.id] = now + span
            out.append((Step.KEEP, t, span))
        return span > 0 and t.id in self.kept

    def used(self) -> float:
        return self.memory + len(self.kept) * self.facts.key_kb

    def watch(self, now: int, out: list[Result]) -> None:
        """Outer limits, entries that ran out, calls that left; stopped work that did not stop."""
        self.next_watch = now + WAKE_EVERY // 2
        early = max(0, 2 * WAKE_EVERY - self.facts.answer_slack)
        last = self.stop - 3 * WAKE_EVERY if self.notice else now + 1
        for t in list(self.open.values()):
            if t.answered and t.state == RUNNING and 0 < t.halted < now - 5 * WAKE_EVERY:
                self.halt(t, now, out)
            elif not t.answered and now >= min(t.due - early, last):
                if t.state in (NEW, HELD) and not t.ran:
                    self.dismiss(t, now, out)
                else:
                    self.forfeit(t, now, out)
        self.kept = {op_id: until for op_id, until in self.kept.items() if until > now}
        while self.lingering and self.lingering[0] <= now:
            self.lingering.popleft()

    # Calls

    def ask_below(self, now: int, out: list[Result]) -> None:
        """Makes calls, highest rank first, within this backend's share and what the callee takes at ease."""
        f = self.facts
        ready = [t for t in self.asking if not t.answered and now >= t.not_before]
        for t in sorted(ready, key=lambda t: -t.rank):
            used, spare = self.counts[CALLING] + len(self.lingering), self.spare_calls(now)
            usual = sorted(self.calls)[len(self.calls) // 2]  # a few lost ones don't move it
            least = min(CALL_LEAST * usual, (self.burst - f.lingers) / 2)  # given up, it would linger
            rest = self.median[t.kind] // 2
            bound = (t.aim if now + rest < t.aim else t.due) - rest - now
            if bound <= 0 and t.type.credit_without == 0:
                self.forfeit(t, now, out)
            elif not f.calls_share or (used < int(self.call_room) and spare > least):
                if self.crowded(now):
                    break
                span = min(max(bound, WAKE_EVERY), t.due - now)
                if f.calls_share:
                    part = bound / 2 if t.type.repeat is Repeat.REDOABLE else bound  # for another try
                    late = min(CALL_PATIENCE * usual, max(CALL_LEAST * usual, part))
                    span = round(min(span, spare, max(WAKE_EVERY, late)))
                t.tries += 1
                t.asked, t.call_until = now, now + span
                self.move(t, CALLING, keeps_weight=True)
                out.append((Step.CALL, t, max(1000, span)))
            elif t.type.credit_without > 0 and (now - t.asked > 4 * self.call_usual or bound <= 0):
                self.go_on(t, now, out)

    def spare_calls(self, now: int) -> float:
        """Call time to spend now: it comes back at an even pace, and the mean stays in the share if each call
        out lasts to its bound. Guards against a fleet that spends its time at once and then waits in step."""
        ahead = sum(t.call_until + self.facts.lingers - now for t in self.open.values() if t.state == CALLING)
        ahead += sum(until - now for until in self.lingering) + self.facts.lingers
        return self.burst - self.spent - ahead

    def go_on(self, t: Ticket, now: int, out: list[Result]) -> None:
        if not self.crowded(now):
            self.move(t, RUNNING, keeps_weight=True)
            t.below += now - t.asked
            out.append((Step.GO_ON, t, 0))

    def learn_call(self, took: int, outcome: Outcome) -> None:
        """The room for calls shrinks while they take far longer than usual or fail, and grows back."""
        if outcome is not Outcome.NEVER_RAN:
            self.calls.append(took)
            self.ended_calls += 1
            part = 1 / self.ended_calls
            self.call_late += max(0.1, part) * (took - self.call_late)
            self.call_usual = round(self.call_usual + max(0.003, part) * (took - self.call_usual))
        slow = outcome is not Outcome.GOOD or self.call_late > CALL_CROWDED * self.call_usual
        room = self.call_room * 0.97 if slow else self.call_room + 0.1
        self.call_room = min(self.most_calls, max(1.0, room))

    # Answers and accounts

    def dismiss(self, t: Ticket, now: int, out: list[Result], elsewhere: bool | None = None) -> None:
        """A final no, with advice: how long to stay away, and whether another backend may do better."""
        if t.ran and t.type.repeat is not Repeat.REDOABLE or t.state == PAUSED:
            return self.forfeit(t, now, out)
        self.keep(t, now, 0, out)
        self.shed += 0.05
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
