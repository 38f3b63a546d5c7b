"""What the attempts of requests say of sidecars, and how attempts end."""

import time

from crowwing.tier.front.load_reports import LoadReport, parse_load_header
from crowwing.tier.front.sidecar_state import SidecarState
from crowwing.tier.front.sidecar_table import SidecarTable
from crowwing.tier.front.upstream import AttemptOutcome, NotExecuted, ResponseLost, ResponseStarted

MISDIRECTED_STATUS = 421  # of a sidecar that a request was not meant for
MIN_ERROR_STATUS = 500  # from which a response counts as a failure of its sidecar


class AttemptTracker:
    """Records attempts in the states of their sidecars.

    Owned by `ServicePool`; the dispatcher calls it once at each step of an attempt.
    """

    def __init__(self, sidecars: SidecarTable) -> None:
        """Nothing has been sent."""
        self._sidecars = sidecars
        self._attempt_count = 0

    def sent(self, state: SidecarState) -> int:
        """A request goes to a sidecar.

        Returns:
            The number of this attempt.
        """
        state.inflight += 1
        state.sent_since_report += 1
        self._attempt_count += 1
        state.unanswered[self._attempt_count] = time.monotonic()
        return self._attempt_count

    def head_ended(self, state: SidecarState, number: int) -> None:
        """An attempt has the head of its response, or has ended without one."""
        state.unanswered.pop(number, None)

    def ended(self, state: SidecarState) -> None:
        """A request has left a sidecar."""
        state.inflight -= 1
        state.record_request_end()

    def response_started(self, state: SidecarState, started: ResponseStarted) -> None:
        """A sidecar has begun to answer: it is reachable, and may report its load."""
        now = state.last_byte_at = time.monotonic()
        state.record_success()
        if started.status >= MIN_ERROR_STATUS:
            state.failure_rate.record_failure(now)
        else:
            state.failure_rate.record_success(now)
        self._record_load_header(state, started.header(b"server-load"))
        if (started.header(b"connection") or b"").lower() == b"close" and not state.entry.ready:
            state.leaving = True

    def not_executed(self, state: SidecarState, outcome: NotExecuted, expects_version: bool) -> None:
        """A sidecar did not run a request, most often since it is full.

        421 says that it is another one, or that it has other weights where the request expects some.
        """
        now = state.last_byte_at = time.monotonic()
        if outcome.status == MISDIRECTED_STATUS:
            if not expects_version:
                state.record_replaced(now)
        elif not self._record_load_header(state, outcome.load):
            slots = state.entry.slots
            self._sidecars.record_load(state, now, LoadReport(slots, slots, slots))

    def _record_load_header(self, state: SidecarState, value: bytes | None) -> bool:
        """Takes a `Server-Load` header in; whether it could be read."""
        report = parse_load_header(value)
        if report is None:
            return False
        self._sidecars.record_load(state, time.monotonic(), report)
        return True


def describe_outcome(outcome: AttemptOutcome) -> str:
    """How an attempt ended, as a word for the log."""
    match outcome:
        case ResponseStarted(status):
            return "answered" if status < MIN_ERROR_STATUS else f"error_{status}"
        case NotExecuted(no_connection=True):
            return "no_connection"
        case NotExecuted(status=None):
            return "unreachable"
        case NotExecuted(status):
            return f"rejected_{status}"
        case ResponseLost():
            return "lost"
