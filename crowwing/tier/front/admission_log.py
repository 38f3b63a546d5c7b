"""The log line about rejections and failed attempts of a front; benchmarks/worth.py reads it."""

import logging
from collections import Counter

from crowwing.tier.front.admission import Admission
from crowwing.tier.front.attempts import describe_outcome
from crowwing.tier.front.upstream import AttemptOutcome

log = logging.getLogger("crowwing.pool")

LOG_INTERVAL_S = 1.0


class AdmissionLog:
    """Counts the outcomes of attempts, and logs them with the state of admission.

    Owned by `ServicePool`, whose loop calls `write`; the dispatcher counts each attempt.
    """

    def __init__(self) -> None:
        """Starts with no counts."""
        self._written: dict[str, tuple[int, float]] = {}  # rejections in the last line, and its time
        self._attempts: dict[str, Counter[str]] = {}  # by service, since the last line

    def count(self, service: str, outcome: AttemptOutcome) -> None:
        """Counts the outcome of an attempt."""
        self._attempts.setdefault(service, Counter())[describe_outcome(outcome)] += 1

    def write(self, service: str, admission: Admission, now: float) -> None:
        """Writes at most one line a second, only if requests were rejected or attempts failed."""
        rejected, written_at = self._written.get(service, (0, 0.0))
        attempts = self._attempts.get(service, Counter())
        if now - written_at < LOG_INTERVAL_S:
            return
        if rejected == admission.rejected_count and len(attempts) <= ("answered" in attempts):
            return
        self._attempts[service] = Counter()
        self._written[service] = (admission.rejected_count, now)
        load = admission.load
        log.info(
            "admission service=%s rejected=%d priority_threshold=%.2f limit=%.0f max_limit=%.0f "
            "inflight=%d queued=%d running=%.0f waiting=%.0f slots=%.0f attempts=%s",
            service,
            admission.rejected_count - rejected,
            admission.priority_threshold,
            admission.limit,
            admission.max_limit,
            admission.inflight,
            admission.queued_count,
            load.running,
            load.waiting,
            load.slots,
            ",".join(f"{name}:{count}" for name, count in sorted(attempts.items())) or "none",
        )
