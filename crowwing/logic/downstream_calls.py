"""What is called: calls to what lies below, within this backend's share of it."""

from crowwing.contract import Outcome, Repeat, Result, Step
from crowwing.logic.backend_state import CALL_LEAST, CALL_PATIENCE, SURVIVE, WAKE_EVERY, Books
from crowwing.logic.request_handle import CALLING, RUNNING, Ticket

CALL_CROWDED = 2.5  # a call's latency against its usual one from which what lies below is crowded


class Calls(Books):
    """Makes calls, and learns from their ends."""

    def allot(self, calls: float, shares: list[float]) -> None:
        """What this backend has of the fleet's pace of calls and of each customer's share, in even parts; the
        burst stays its own, so that what one lends and another borrows of the pace adds up to the same."""
        self.call_part, self.parts = calls, shares
        self.most_calls = max(self.facts.cores / 2, SURVIVE * self.facts.calls_share * calls)

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
