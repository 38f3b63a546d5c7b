"""Who is a member and who a witness of a new view: pure functions of what a candidate knows."""

from collections.abc import Iterable, Mapping

from crowwing.tier.replication.messages import Promise
from crowwing.tier.replication.terms import View


def limit_members(
    me: str, eligible: Iterable[str], promises: Mapping[str, Promise], base: View, max_count: int
) -> set[str]:
    """Chooses the members to be, where more replicas could be than a view has.

    Args:
        me: the candidate, which is always among them.
        eligible: replicas that have promised and may hold the data.
        promises: what each of them told.
        base: the last view, whose members come first.
        max_count: of members of a view.

    Returns:
        The members of the last view first, and of these the ones whose logs reach furthest.
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

    They are its members, and former witnesses where the members are fewer than a majority vote needs: those
    first that promised the term and stay.

    Args:
        synced: the members of the new view.
        base: the last view.
        responsive: replicas that have promised.
        excluded: replicas that are to leave.
        min_count: witnesses of which a majority outlives the faults that are to be survived.
    """

    def preference(host: str) -> tuple[bool, bool, str]:
        return host in excluded, host not in responsive, host

    former = sorted(set(base.witnesses) - synced, key=preference)
    missing_count = max(0, min_count - len(synced))
    return tuple(sorted(synced | set(former[:missing_count])))
