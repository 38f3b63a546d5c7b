"""A customer's use against its quota across the fleet, by window. Pure.

Settings give each member an even part of a customer's quota. Where a customer's tickets come to few members,
those parts are spent while the others' lie idle. Each member counts what came of each customer in a window
and says so when the window is over, under a key of its own (`use/customer/window/member.life`): counters
never differ, and a member that starts anew counts under another life. Of the quota, members held dead keep
their even part (they may serve behind a cut, so the two sides of a partition never pass the quota together);
the rest goes by use.

A window says how much came, not how much was within the share: the part follows what is asked for.
"""

from collections import Counter
from collections.abc import Iterable

WINDOWS = 3  # the last whole ones, which the parts are taken from
LEAST = 0.1  # of an even part, for who has had none: its next tickets are not all beyond the share


def key(customer: str, window: int, member: str, life: str) -> str:
    return f"use/{customer}/{window}/{member}.{life}"


def window_of(at: int, span: int) -> int:
    return at // span


def counted(rows: Iterable[tuple[str, float]], now: int, span: int) -> dict[str, Counter[str]]:
    """Use by customer and member over the last whole windows, from (key, count); what is no such key is left
    out."""
    last = window_of(now, span) - 1
    use: dict[str, Counter[str]] = {}
    for name, count in rows:
        parts = name.split("/")
        if len(parts) != 4 or not parts[2].isdigit() or not last - WINDOWS < int(parts[2]) <= last:
            continue
        member = parts[3].rpartition(".")[0]
        use.setdefault(parts[1], Counter())[member] += count
    return use


def part(use: Counter[str], me: str, alive: Iterable[str], size: int) -> float:
    """Of one customer's quota, in even parts, what this member may take as within the share. `alive`: the
    other members held alive; `size`: all that settings name. Over all members that see the same, the parts
    add up to `size` less those held dead."""
    members = [me, *alive]
    total = sum(use[name] for name in members)
    if total <= 0:
        return 1.0
    floor = LEAST * len(members)
    return LEAST + (len(members) - floor) * use[me] / total
