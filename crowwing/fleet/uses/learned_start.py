"""What members have learned and one that starts lacks: its start, never over what it measures itself. Pure.

Each member says now and then what it has learned (`lesson/member`); one that has started takes, figure by
figure, the median of what the others said, so that one sick or slow member does not teach its sickness.
"""

from collections.abc import Iterable, Sequence
from statistics import median
from typing import NamedTuple


class Lesson(NamedTuple):
    """Times in µs. `kinds`: for each traffic type its queue timeout and the median of its runs, (0, 0) where
    too few have run; `limit` of inflight work; `call`: the usual time of a call below, 0 where none was
    made.
    """

    kinds: tuple[tuple[int, int], ...]
    limit: float
    call: int

    def told(self) -> dict:
        return {
            "kinds": [list(kind) for kind in self.kinds],
            "limit": round(self.limit, 2),
            "call": self.call,
        }


def read(told: object) -> Lesson:
    """ValueError, KeyError or TypeError for what is no lesson."""
    kinds = tuple((int(timeout), int(middle)) for timeout, middle in told["kinds"])
    lesson = Lesson(kinds, float(told["limit"]), int(told["call"]))
    if any(timeout < 0 or middle < 0 for timeout, middle in kinds) or lesson.call < 0 or not lesson.limit > 0:
        raise ValueError("no lesson")
    return lesson


def taken(lessons: Iterable[object], types: int) -> Lesson | None:
    """From what the others said; None where nobody has anything to teach. What is none is left out."""
    good: list[Lesson] = []
    for told in lessons:
        try:
            lesson = read(told)
        except (ValueError, KeyError, TypeError):
            continue
        if len(lesson.kinds) == types:
            good.append(lesson)
    if not good:
        return None
    kinds = tuple(
        (_middle(one.kinds[n][0] for one in good), _middle(one.kinds[n][1] for one in good))
        for n in range(types)
    )
    return Lesson(kinds, median(one.limit for one in good), _middle(one.call for one in good))


def _middle(figures: Iterable[int]) -> int:
    """Of those that are known."""
    known: Sequence[int] = [figure for figure in figures if figure > 0]
    return round(median(known)) if known else 0
