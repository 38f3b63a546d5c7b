"""Choice of the members and the witnesses of a new view, as pure functions."""

from collections.abc import Iterable, Mapping

from crowwing.tier.replication.messages import Promise
from crowwing.tier.replication.terms import View


def limit_members(
    me: str, eligible: Iterable[str], promises: Mapping[str, Promise], base: View, max_count: int
) -> set[str]:
    """Chooses the members of a new view when more replicas are eligible than a view has.

    Args:
        me: the candidate, which is always chosen.
        eligible: replicas that have promised and may become members.
        promises: the promise of each.
        base: the last view, whose members are preferred.
        max_count: maximum number of members.

    Returns:
        The chosen members: preferably those of the last view, and among these those with the longest logs.
    """

    def preference(host: str) -> tuple[bool, int, float, str]:
        promise = promises[host]
        return host not in base.members, -promise.last[1], promise.sync_s, host

    others = sorted(set(eligible) - {me}, key=preference)
    return {me, *others[: max_count - 1]}


def choose_witnesses(
    synced: set[str], base: View, responsive: set[str], excluded: frozenset[str], min_count: int
) -> tuple[str, ...]:
    """Chooses the witnesses of a new view.

    They are its members, and, if the members are fewer than `min_count`, former witnesses: preferably those
    that have promised the term and do not have to leave.

    Args:
        synced: the members of the new view.
        base: the last view.
        responsive: replicas that have promised.
        excluded: replicas that have to leave.
        min_count: number of witnesses of which a majority survives the tolerated faults.
    """

    def preference(host: str) -> tuple[bool, bool, str]:
        return host in excluded, host not in responsive, host

    former = sorted(set(base.witnesses) - synced, key=preference)
    missing_count = max(0, min_count - len(synced))
    return tuple(sorted(synced | set(former[:missing_count])))
