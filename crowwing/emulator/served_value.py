"""Share of the requested value that clients received in time, by second and by fault phase. Free of I/O.

A client's retries belong to its first attempt: the value is counted in the second of that attempt, and
lateness is measured from it.
"""

from collections.abc import Sequence
from typing import NamedTuple

from crowwing.emulator import faults
from crowwing.emulator.ground_truth import GroundTruth
from crowwing.emulator.plan import Plan

RECOVERY_THRESHOLD, RECOVERY_WINDOW_S = 0.95, 5  # fraction of the earlier level; averaging window


class Second(NamedTuple):
    requested: float
    in_time: float
    late: float
    requests: int
    attempts: int
    rejected: int
    failed: int

    @property
    def share(self) -> float:
        return self.in_time / self.requested if self.requested else 1.0


def by_second(plan: Plan, truth: GroundTruth) -> list[Second]:
    count = int(plan.seconds + 0.999)
    sums = [[0.0, 0.0, 0.0, 0, 0, 0, 0] for _ in range(count)]
    for request in truth.requests:
        row = sums[min(count - 1, (request.born - truth.began) // 1_000_000)]
        row[0] += request.credit
        if request.ending == "settled":
            if request.over <= request.expected:
                row[1] += request.credit
            else:
                row[2] += request.credit * plan.types[request.kind].late_part
        row[3] += 1
        row[4] += len(request.tries)
        row[5] += sum(attempt.ending == "dismissed" for attempt in request.tries)
        row[6] += sum(attempt.ending == "forfeited" for attempt in request.tries)
    return [Second(*row) for row in sums]


class Phase(NamedTuple):
    name: str
    begin: float
    end: float
    in_time: float  # share of the requested value
    worst: float  # lowest share over any ten seconds (or over the whole phase if it is shorter)
    tickets: int
    tries: float  # attempts per request
    dismissed: int
    forfeited: int
    median_ms: float  # of completed requests, from the client's first attempt
    p99_ms: float


def phases(plan: Plan, truth: GroundTruth) -> list[Phase]:
    """Returns the phases before, during and after the faults; a single phase without faults."""
    rows, end = by_second(plan, truth), int(plan.seconds)
    begin = min(end - 1, int(plan.warm_up_s))
    if (faulty := faults.span(plan)) is None:
        return [_phase("all", rows, begin, end, plan, truth)]
    first, last = max(begin + 1, int(faulty[0])), min(end, int(faulty[1] + 0.999))
    bounds = [("before", begin, first), ("during", first, last), ("after", last, end)]
    return [_phase(name, rows, a, b, plan, truth) for name, a, b in bounds if b > a]


def _phase(name: str, rows: Sequence[Second], begin: int, end: int, plan: Plan, truth: GroundTruth) -> Phase:
    part = rows[begin:end]
    total = sum(row.requested for row in part)
    count = sum(row.requests for row in part)
    low, high = truth.began + begin * 1_000_000, truth.began + end * 1_000_000
    spans = sorted(
        (t.over - t.born) / 1000 for t in truth.requests if low <= t.born < high and t.ending == "settled"
    )
    return Phase(
        name, begin, end, sum(row.in_time for row in part) / total if total else 1.0, worst(part), count,
        sum(row.attempts for row in part) / max(1, count), sum(row.rejected for row in part),
        sum(row.failed for row in part), _quantile(spans, 0.5), _quantile(spans, 0.99),
    )  # fmt: skip


def _quantile(ordered: Sequence[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def worst(rows: Sequence[Second], span: int = 10) -> float:
    """Returns the lowest share over any `span` consecutive seconds."""
    span = min(span, len(rows))
    shares = []
    for n in range(len(rows) - span + 1):
        total = sum(row.requested for row in rows[n : n + span])
        shares.append(sum(row.in_time for row in rows[n : n + span]) / total if total else 1.0)
    return min(shares, default=1.0)


def recovery(plan: Plan, truth: GroundTruth) -> float | None:
    """Returns the seconds from the end of the faults until the share has recovered for good.

    Recovered means that the mean over five seconds stays at or above 95% of the level before the faults.
    None if it does not recover by the end, or if there is no phase to compare with.
    """
    spans, rows = faults.span(plan), by_second(plan, truth)
    found = phases(plan, truth)
    if spans is None or found[0].name != "before" or found[-1].name != "after":
        return None
    aim, last = RECOVERY_THRESHOLD * found[0].in_time, int(spans[1] + 0.999)
    levels = [
        sum(row.in_time for row in rows[n : n + RECOVERY_WINDOW_S])
        / max(1e-9, sum(row.requested for row in rows[n : n + RECOVERY_WINDOW_S]))
        for n in range(last, len(rows) - RECOVERY_WINDOW_S + 1)
    ]
    low = [n for n, level in enumerate(levels) if level < aim]
    if not levels or (low and low[-1] == len(levels) - 1):
        return None
    return max(0.0, last - spans[1]) + (low[-1] + 1 if low else 0)
