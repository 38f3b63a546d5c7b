"""What is learned: P90s and timeouts, the inflight limit, the cut, and the free value that follows."""

from crowwing.contract import Result, Signal, Step
from crowwing.logic.backend_state import PROBE, WAKE_QUIET, Books
from crowwing.logic.feedback import ENOUGH, SAMPLES, queue_timeout, step_cut
from crowwing.logic.request_handle import ASKING, CALLING, HELD, PAUSED, Ticket

CUT_MOST = 5 / 6  # the cut's end: tier t0 is never cut
STRETCH = 1.3  # the run latency, against an uncrowded one, that the limit is steered to
HOLD = 0.3  # held tickets a core that callers are let send


class Learned(Books):
    """The feedback loops."""

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
        held = self.counts[HELD] + self.counts[PAUSED] > 0
        self.limit = self.limit_loop.step(self.limit, dt, idle, held, error, f.cores)
        most = self.ceiling(now)
        stuck = self.limit >= most or (error <= 0 and idle <= 0) or idle <= -0.1 * f.cores
        self.limit = min(max(self.limit, f.cores), most)
        waits = [
            (now - t.arrived) / max(1, self.patience(t) - t.arrived) for queue in self.queues for t in queue
        ]
        outwait, self.waited = max([self.waited, *waits]), 0.0
        full = self.busy > 0.9 and stuck
        self.cut_base, self.cut = step_cut(self.cut_base, dt, outwait, full, idle / f.cores, CUT_MOST)

    def learn(self, t: Ticket, took: int, good: bool) -> None:
        """A run ended by itself. Failed runs are quick: they count as errors, never as latency."""
        self.errors += 0.1 * ((0.0 if good else 1.0) - self.errors)
        if not good:
            return
        k, runs, own = t.kind, self.runs[t.kind], took - t.below
        self.runs.add(k, took)
        for j, own_runs in enumerate(self.runs):  # a type without enough of its own goes by all of them
            ranked = self.runs.ranked if len(own_runs) < ENOUGH else own_runs.ranked if j == k else ()
            if len(ranked) >= ENOUGH:
                self.median[j], span = ranked[len(ranked) // 2], self.span[j]
                self.timeout[j] = queue_timeout(ranked, span, span // 8, span)
        usual = 0.05 if t.crowd <= self.facts.cores else 0.002
        weight = max(usual, 0 if len(runs) == SAMPLES else 1 / len(runs))
        self.usual[k] += weight * (own - self.usual[k])
        self.stretch += 0.08 * (own / max(1.0, self.usual[k]) - self.stretch)

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
