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


def outranked(said: Row, held: Row | None) -> bool:
    """Returns whether the stored row equals the acknowledged one or supersedes it by the merge rule."""
    if held is None:
        return False
    if said[0].startswith("mark/"):
        return (
            held[1] is False or said[1] is True
        )  # a mark once added may be removed; once removed it stays so
    return tuple(held[2:5]) >= tuple(said[2:5])


def differing(held: Mapping[str, Sequence[Row]]) -> list[str]:
    """Returns the keys whose rows are not the same at every member."""
    views = [{row[0]: row for row in rows} for rows in held.values()]
    keys = set().union(*views) if views else set()
    return sorted(key for key in keys if any(view.get(key) != views[0].get(key) for view in views))


def check(history: Sequence[dict], held: Mapping[str, Sequence[Row]], converged_s: float | None) -> Found:
    """Checks a history; `held` maps each member to its rows at the end."""
    said = acknowledged(history)
    lost = []
    for name, rows in held.items():
        view = {row[0]: row for row in rows}
        lost += [f"{row[0]} at {name}" for row in said if not outranked(row, view.get(row[0]))]
    asked = sum(line["event"] == "asked" for line in history)
    answers = sum(line["event"] == "answered" and line["acked"] for line in history)
    return Found(asked, answers, sorted(set(lost)), differing(held), converged_s)
