"""Which front runs which item. Kept in memory by the primary alone: a lost lease only means a run that is
repeated.
"""

from collections.abc import Callable, Iterable, Iterator

from crowwing.tier.state.events import Item
from crowwing.tier.state.views import Lot, TierState

LEASE_S = 1.8
GRACE_S = 0.8  # after a change of primary, in which fronts tell what they run

ItemKey = tuple[str, str]


class Leases:
    """Leases of items to fronts."""

    def __init__(self, now: float) -> None:
        self._until: dict[ItemKey, float] = {}
        self._holder: dict[ItemKey, str] = {}
        self._not_before = now + GRACE_S

    def renew(
        self, state: TierState, front: str, running: Iterable[ItemKey], now: float
    ) -> tuple[ItemKey, ...]:
        """Renews what a front runs; gives what it need not run any more."""
        stop: list[ItemKey] = []
        for key in running:
            lot = state.lots.get(key[0])
            wanted = lot is not None and key[1] in lot.open_items
            if not wanted or self._held_by_other(key, front, now):
                stop.append(key)
            else:
                self._grant(key, front, now)
        return tuple(stop)

    def lease(
        self, state: TierState, front: str, most: int, now: float, hopeless: Callable[[Lot], bool]
    ) -> list[tuple[Lot, Item]]:
        """Leases waiting items, oldest lot first, but lots that can't be in time any more last."""
        if now < self._not_before:
            return []
        self._forget_ended(state)
        leased: list[tuple[Lot, Item]] = []
        lots = [lot for lot in state.lots.values() if lot.open_items]
        for lot, item in items_of(sorted(lots, key=hopeless)):
            if len(leased) >= most:
                break
            key = (lot.id, item.id)
            if self._until.get(key, 0.0) <= now:
                self._grant(key, front, now)
                leased.append((lot, item))
        return leased

    def release(self, key: ItemKey) -> None:
        """The item may be leased again at once."""
        self._until.pop(key, None)
        self._holder.pop(key, None)

    def _grant(self, key: ItemKey, front: str, now: float) -> None:
        self._until[key], self._holder[key] = now + LEASE_S, front

    def _held_by_other(self, key: ItemKey, front: str, now: float) -> bool:
        return self._until.get(key, 0.0) > now and self._holder.get(key) != front

    def _forget_ended(self, state: TierState) -> None:
        if len(self._until) <= 4 * sum(len(lot.open_items) for lot in state.lots.values()) + 64:
            return
        for key in list(self._until):
            lot = state.lots.get(key[0])
            if lot is None or key[1] not in lot.open_items:
                self.release(key)


def items_of(lots: Iterable[Lot]) -> Iterator[tuple[Lot, Item]]:
    """All items without a result, lot after lot."""
    for lot in lots:
        for item in lot.open_items.values():
            yield lot, item
