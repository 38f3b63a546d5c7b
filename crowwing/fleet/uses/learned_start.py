"""Initial estimates for a member that has just started, taken from the other members. The member's own
measurements always take precedence. Pure.

Each member publishes its estimates from time to time (`lesson/member`). A member that has just started takes
for each estimate the median of those that the others published, so that one unhealthy or slow member does not
spread its own.
"""

from collections.abc import Iterable, Sequence
from statistics import median
from typing import NamedTuple


class LearnedStart(NamedTuple):
    """Times in µs. `request_classes`: for each request class its queue time-out and its median run time,
    (0, 0) if too few have run; `concurrency_limit`: of requests in flight; `call_time`: the usual time of a
    downstream call, 0 if none was made.
    """

    request_classes: tuple[tuple[int, int], ...]
    concurrency_limit: float
    call_time: int

    def as_dict(self) -> dict:
        return {
            "kinds": [list(kind) for kind in self.request_classes],
            "limit": round(self.concurrency_limit, 2),
            "call": self.call_time,
        }


def parse(encoded: object) -> LearnedStart:
    """Decodes a published entry; ValueError, KeyError or TypeError for a malformed one."""
    request_classes = tuple((int(timeout), int(middle)) for timeout, middle in encoded["kinds"])
    start = LearnedStart(request_classes, float(encoded["limit"]), int(encoded["call"]))
    if (
        any(timeout < 0 or middle < 0 for timeout, middle in request_classes)
        or start.call_time < 0
        or not start.concurrency_limit > 0
    ):
        raise ValueError("time or limit out of range")
    return start


def combine(encoded_starts: Iterable[object], class_count: int) -> LearnedStart | None:
    """Combines what the others published; None if there is nothing. Malformed entries are skipped."""
    readable: list[LearnedStart] = []
    for encoded in encoded_starts:
        try:
            start = parse(encoded)
        except (ValueError, KeyError, TypeError):
            continue
        if len(start.request_classes) == class_count:
            readable.append(start)
    if not readable:
        return None
    request_classes = tuple(
        (
            _median_of_known(one.request_classes[n][0] for one in readable),
            _median_of_known(one.request_classes[n][1] for one in readable),
        )
        for n in range(class_count)
    )
    return LearnedStart(
        request_classes,
        median(one.concurrency_limit for one in readable),
        _median_of_known(one.call_time for one in readable),
    )


def _median_of_known(figures: Iterable[int]) -> int:
    """Median of the positive figures; 0 if there are none."""
    known: Sequence[int] = [figure for figure in figures if figure > 0]
    return round(median(known)) if known else 0
