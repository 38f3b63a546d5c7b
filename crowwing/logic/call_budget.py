"""The calls to the service below: this backend's share of them, what was spent, and how long they take."""

from collections import deque

from crowwing.contract import Outcome, Premises
from crowwing.logic.feedback import ENOUGH
from crowwing.logic.limits import MAX_USED_SHARE
from crowwing.logic.request import RequestState
from crowwing.logic.request_table import RequestTable

MAX_PATIENCE, MIN_PATIENCE = 20, 8  # the time limit of a call, in recent medians
BURST_SHARE, MAX_BURST_SHARE, MIN_PACE_SHARE = 0.25, 0.6, 0.3  # parts of the share: at once, and for good
CROWDED_LATENCY = 2.5  # a call's latency against its usual one from which the service below is crowded
RECENT_WEIGHT, USUAL_WEIGHT = 0.1, 0.003  # of the newest call
CALL_ROOM_SHRINK, CALL_ROOM_GROWTH = 0.97, 0.1  # a factor, and calls, after each one


class CallBudget:
    """Owner of the call time that this backend may spend. Times are microseconds.

    Attributes:
        latencies: the newest latencies of calls.
        recent_latency: of the last ten or so.
        usual_latency: of the last hundreds.
        ended_count: calls that came back.
        max_calls: how many may be out at once.
        call_room: how many may be now.
        burst: call time that may be spent at once.
        pace: call time that comes back for each microsecond.
        part: this backend's part of the fleet's pace, in even parts.
        spent: call time that was spent and did not come back yet.
        call_time: what was spent since the start, for whoever lends what is left of it.
        abandoned: until when each call that was given up is still counted as out.
    """

    def __init__(self, facts: Premises, table: RequestTable) -> None:
        """No call was made."""
        self._facts = facts
        self._table = table
        self.latencies = deque([facts.calls_over // (8 * MAX_PATIENCE)] * ENOUGH, 2 * ENOUGH)
        self.recent_latency = 0.0
        self.usual_latency = 0
        self.ended_count = 0
        self.max_calls = self.call_room = max(facts.cores / 2, MAX_USED_SHARE * facts.calls_share)
        total = facts.calls_share * facts.calls_over  # call time that the rule leaves in its span
        self.burst = max(BURST_SHARE * total, min(2.0 * facts.lingers, MAX_BURST_SHARE * total))
        pace = max(MIN_PACE_SHARE * total, MAX_USED_SHARE * total - self.burst)
        self.pace = pace / max(1, facts.calls_over)
        self.part = 1.0
        self.spent = 0.0
        self.call_time = 0.0
        self.abandoned: deque[int] = deque()

    def allot(self, part: float) -> None:
        """Sets this backend's part of the fleet's pace.

        The burst stays its own, so that what one lends and another borrows of the pace adds up to the same.
        """
        self.part = part
        self.max_calls = max(self._facts.cores / 2, MAX_USED_SHARE * self._facts.calls_share * part)

    def calls_out(self) -> int:
        """Calls that the service below may still be at work on."""
        return self._table.counts[RequestState.CALLING] + len(self.abandoned)

    def spend(self, elapsed_s: float) -> None:
        """Time has passed with the calls that are out."""
        calls_out = self.calls_out()
        self.call_time += elapsed_s * 1e6 * calls_out
        self.spent = max(0.0, self.spent + elapsed_s * 1e6 * (calls_out - self.pace * self.part))

    def spare(self, now: int) -> float:
        """Call time to spend now.

        It comes back at an even pace, and the mean stays in the share if each call that is out lasts to its
        limit. Guards against a fleet that spends its time at once and then waits in step.
        """
        lingers = self._facts.lingers
        calling = (request for request in self._table.by_id.values() if request.state == RequestState.CALLING)
        ahead = sum(request.call_deadline + lingers - now for request in calling)
        ahead += sum(until - now for until in self.abandoned) + lingers
        return self.burst - self.spent - ahead

    def median_latency(self) -> int:
        """Of recent calls; a few lost ones don't move it."""
        return sorted(self.latencies)[len(self.latencies) // 2]

    def abandon(self, now: int) -> None:
        """A call was given up; the service below works on it for a while."""
        self.abandoned.append(now + self._facts.lingers)

    def expire_abandoned(self, now: int) -> None:
        """Forgets the calls that have left the service below."""
        while self.abandoned and self.abandoned[0] <= now:
            self.abandoned.popleft()

    def record_call(self, took: int, outcome: Outcome) -> None:
        """The room for calls shrinks while they take far longer than usual or fail, and grows back."""
        if outcome is not Outcome.NEVER_RAN:
            self._record_latency(took)
        is_crowded = self.recent_latency > CROWDED_LATENCY * self.usual_latency
        if outcome is not Outcome.GOOD or is_crowded:
            room = self.call_room * CALL_ROOM_SHRINK
        else:
            room = self.call_room + CALL_ROOM_GROWTH
        self.call_room = min(self.max_calls, max(1.0, room))

    def _record_latency(self, took: int) -> None:
        self.latencies.append(took)
        self.ended_count += 1
        first_ones = 1 / self.ended_count
        self.recent_latency += max(RECENT_WEIGHT, first_ones) * (took - self.recent_latency)
        change = max(USUAL_WEIGHT, first_ones) * (took - self.usual_latency)
        self.usual_latency = round(self.usual_latency + change)

    def adopt(self, latency: int) -> None:
        """Takes the usual latency of others as a start, where no call came back here."""
        if latency > 0 and not self.ended_count:
            self.usual_latency = latency
            self.recent_latency = float(latency)
            self.ended_count = ENOUGH
            self.latencies.extend([latency] * ENOUGH)
