"""Checks replication guarantees against a history of requests and the final state of every member.

Free of I/O. The history consists of the events `asked`, `answered`, `fault` and `healed`; a row is an entry
in its wire format: [key, value, at, count, who, until].
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

Row = list


class Found(NamedTuple):
    """Result of the check of one run."""

    asked: int
    acknowledged: int
    lost: list[str]  # acknowledged, but at some member neither present nor superseded
    differing: list[str]  # keys whose replicas differ at the end
    converged_s: float | None  # after the last fault; None: not within the observed time


def acknowledged(history: Iterable[dict]) -> list[Row]:
    return [row for line in history if line["event"] == "answered" and line["acked"] for row in line["rows"]]


def outranked(acked: Row, stored: Row | None) -> bool:
    """Returns whether the stored row equals the acknowledged one or supersedes it by the merge rule."""
    if stored is None:
        return False
    if acked[0].startswith("mark/"):
        return (
            stored[1] is False or acked[1] is True
        )  # a mark once added may be removed; once removed it stays so
    return tuple(stored[2:5]) >= tuple(acked[2:5])


def differing(stored: Mapping[str, Sequence[Row]]) -> list[str]:
    """Returns the keys whose rows are not the same at every member."""
    views = [{row[0]: row for row in rows} for rows in stored.values()]
    keys = set().union(*views) if views else set()
    return sorted(key for key in keys if any(view.get(key) != views[0].get(key) for view in views))


def check(history: Sequence[dict], stored: Mapping[str, Sequence[Row]], converged_s: float | None) -> Found:
    """Checks a history; `stored` maps each member to its rows at the end."""
    acked_rows = acknowledged(history)
    lost = []
    for name, rows in stored.items():
        view = {row[0]: row for row in rows}
        lost += [f"{row[0]} at {name}" for row in acked_rows if not outranked(row, view.get(row[0]))]
    asked = sum(line["event"] == "asked" for line in history)
    answers = sum(line["event"] == "answered" and line["acked"] for line in history)
    return Found(asked, answers, sorted(set(lost)), differing(stored), converged_s)
