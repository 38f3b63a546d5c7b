"""What a history of asks and answers, and what every member holds at its end, say of the promises. Pure.

The history is records lines (`asked`, `answered`, `fault`, `healed`); a row is an entry as the fleet's wire
gives it: [key, value, at, count, who, until].
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

Row = list


class Found(NamedTuple):
    """Of one run."""

    asked: int
    acknowledged: int
    lost: list[str]  # acknowledged, and at some member neither there nor outranked
    differing: list[str]  # keys whose copies differ at the end
    converged_s: float | None  # after the last fault; None: not within the time looked at


def acknowledged(history: Iterable[dict]) -> list[Row]:
    return [row for line in history if line["event"] == "answered" and line["acked"] for row in line["rows"]]


def outranked(said: Row, held: Row | None) -> bool:
    """Whether what is held is what was said, or may stand in its place by the rule for copies that differ."""
    if held is None:
        return False
    if said[0].startswith("mark/"):
        return held[1] is False or said[1] is True  # put in: there or taken out; taken out: stays out
    return tuple(held[2:5]) >= tuple(said[2:5])


def differing(held: Mapping[str, Sequence[Row]]) -> list[str]:
    """Keys that not every member holds alike."""
    views = [{row[0]: row for row in rows} for rows in held.values()]
    keys = set().union(*views) if views else set()
    return sorted(key for key in keys if any(view.get(key) != views[0].get(key) for view in views))


def check(history: Sequence[dict], held: Mapping[str, Sequence[Row]], converged_s: float | None) -> Found:
    """`held`: the rows of each member at the end."""
    said = acknowledged(history)
    lost = []
    for name, rows in held.items():
        view = {row[0]: row for row in rows}
        lost += [f"{row[0]} at {name}" for row in said if not outranked(row, view.get(row[0]))]
    asked = sum(line["event"] == "asked" for line in history)
    answers = sum(line["event"] == "answered" and line["acked"] for line in history)
    return Found(asked, answers, sorted(set(lost)), differing(held), converged_s)
