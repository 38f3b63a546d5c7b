"""Division of a customer's quota among the members by use. Pure.

The settings give each member an equal share of a customer's quota. If a customer's requests reach only a few
members, those shares are spent while the others stay unused. Each member counts the requests of each customer
in a window and publishes the count when the window is over. The key is its own
(`use/customer/window/member.incarnation`), so counters never conflict, and a restarted member counts under
another one. The equal shares of members believed dead are left to them: they may still serve behind a
partition, and the two sides together must not exceed the quota. The rest is divided by use.

A window counts all requests that arrived, not only those within the quota, so that shares follow demand.
"""

from collections import Counter
from collections.abc import Iterable

WINDOWS = 3  # shares are computed from this many of the last complete windows
MIN_SHARE = (
    0.1  # of an equal share; a member without use gets it, so that its next requests are not all over quota
)


def usage_key(customer: str, window: int, member: str, incarnation: str) -> str:
    return f"use/{customer}/{window}/{member}.{incarnation}"


def window_of(at: int, span: int) -> int:
    return at // span


def usage_by_customer(rows: Iterable[tuple[str, float]], now: int, span: int) -> dict[str, Counter[str]]:
    """Use by customer and member over the last complete windows, from (key, count); skips other keys."""
    last = window_of(now, span) - 1
    usage: dict[str, Counter[str]] = {}
    for name, count in rows:
        parts = name.split("/")
        if len(parts) != 4 or not parts[2].isdigit() or not last - WINDOWS < int(parts[2]) <= last:
            continue
        member = parts[3].rpartition(".")[0]
        usage.setdefault(parts[1], Counter())[member] += count
    return usage


def quota_share(usage: Counter[str], me: str, alive: Iterable[str], size: int) -> float:
    """This member's share of a customer's quota, as a multiple of the equal share. `alive`: other members
    believed alive; `size`: all members in the settings. If all members see the same, their shares add up to
    `size` minus the members believed dead."""
    members = [me, *alive]
    total = sum(usage[name] for name in members)
    if total <= 0:
        return 1.0
    floor = MIN_SHARE * len(members)
    return MIN_SHARE + (len(members) - floor) * usage[me] / total
