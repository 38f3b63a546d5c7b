"""Updates the state of sidecars from the attempts sent to them, and names the outcomes of attempts."""

import time

from crowwing.tier.front.load_reports import LoadReport, parse_load_header
from crowwing.tier.front.sidecar_state import SidecarState
from crowwing.tier.front.sidecar_table import SidecarTable
from crowwing.tier.front.upstream import AttemptOutcome, NotExecuted, ResponseLost, ResponseStarted

MISDIRECTED_STATUS = 421  # the request reached another sidecar, or one with another version of the weights
MIN_ERROR_STATUS = 500  # lowest status that counts as a failure of the sidecar


class AttemptTracker:
    """Records attempts in the state of their sidecar.

    Owned by `ServicePool`; the dispatcher calls it once at each step of an attempt.
    """

    def __init__(self, sidecars: SidecarTable) -> None:
        """Starts with no attempts."""
        self._sidecars = sidecars
        self._attempt_count = 0

    def sent(self, state: SidecarState) -> int:
        """Records that a request is sent to a sidecar.

        Returns:
            The number of the attempt.
        """
        state.inflight += 1
        state.sent_since_report += 1
        self._attempt_count += 1
        state.unanswered[self._attempt_count] = time.monotonic()
        return self._attempt_count

    def head_ended(self, state: SidecarState, number: int) -> None:
        """Records that an attempt has received its response head, or ended without one."""
        state.unanswered.pop(number, None)

    def ended(self, state: SidecarState) -> None:
        """Records the end of a request at a sidecar."""
        state.inflight -= 1
        state.record_request_end()

    def response_started(self, state: SidecarState, started: ResponseStarted) -> None:
        """Records the head of a response: the sidecar is reachable, and may report its load."""
        now = state.last_byte_at = time.monotonic()
        state.record_success()
        if started.status >= MIN_ERROR_STATUS:
            state.failure_rate.record_failure(now)
        else:
            state.failure_rate.record_success(now)
        self._record_load_header(state, started.header(b"server-load"))
        if (started.header(b"connection") or b"").lower() == b"close" and not state.entry.ready:
            state.draining = True

    def not_executed(self, state: SidecarState, outcome: NotExecuted, expects_version: bool) -> None:
        """Records that a sidecar did not execute a request, usually because it is full.

        Status 421 means that another sidecar has this address or, if the request expects a version, that the
        sidecar has other weights.
        """
        now = state.last_byte_at = time.monotonic()
        if outcome.status == MISDIRECTED_STATUS:
            if not expects_version:
                state.record_replaced(now)
        elif not self._record_load_header(state, outcome.load):
            slots = state.entry.slots
            self._sidecars.record_load(state, now, LoadReport(slots, slots, slots))

    def _record_load_header(self, state: SidecarState, value: bytes | None) -> bool:
        """Records the load in a `Server-Load` header; returns whether the header is valid."""
        report = parse_load_header(value)
        if report is None:
            return False
        self._sidecars.record_load(state, time.monotonic(), report)
        return True


def describe_outcome(outcome: AttemptOutcome) -> str:
    """Names the outcome of an attempt for the log."""
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
