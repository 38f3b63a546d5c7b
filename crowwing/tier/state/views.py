"""The views that are folded from the events."""

from collections.abc import Iterator, Mapping
from typing import Any

from crowwing.tier.replication.ranges import COMMON_RANGE, RANGES, digest_of, range_of_key
from crowwing.tier.state import events as e
from crowwing.tier.state.changes import TakenChanges
from crowwing.tier.state.lots import Lot, item_bytes, result_bytes
from crowwing.tier.wire.codec import decode, encode


class TierState:
    """The folded state. It is changed by `apply` and `load` alone."""

    def __init__(self) -> None:
        self.version = 0
        self.changes = TakenChanges()
        self.configuration: bytes | None = None
        self.lots: dict[str, Lot] = {}
        self.stores: dict[str, str] = {}  # name to address
        self.retired: set[str] = set()  # names
        self.kept_bytes = 0  # about what all of it takes

    def apply(self, payload: bytes, index: int) -> None:
        """Folds in the event with this place in the log."""
        event = decode(payload)
        self.fold(event)
        lot = self.lots.get(getattr(event, "lot", ""))
        if lot is not None:
            lot.digest = digest_of((lot.digest, payload))

    def fold(self, event: Any) -> None:  # noqa: ANN401
        """Folds one event in."""
        match event:
            case e.ConfigurationTaken(version, base, text):
                self.version, self.configuration = version, text
                self.changes.add(version, base, text)
            case e.LotTaken(lot, host, path, items, at_ms):
                self._add_lot(Lot(lot, host, path, at_ms, len(items), {item.id: item for item in items}))
            case e.ItemsEnded(lot, results):
                self._end_items(self.lots[lot], results)
            case e.AttemptFailed(lot, item, attempt):
                self.lots[lot].failures.setdefault(item, []).append(attempt)
            case e.LotEnded(lot):
                self._end_lot(self.lots[lot])
            case e.LotDropped(lot):
                self._drop_lot(lot)
            case e.StoreSeen(node, host):
                self._add_store(node, host)
            case e.RetireAsked(node):
                self.retired.add(node)

    def _add_store(self, node: str, host: str) -> None:
        """A name has one address, and an address one name: a later machine may be given an earlier one's."""
        self.stores = {name: other for name, other in self.stores.items() if other != host}
        self.stores[node] = host

    def _add_lot(self, lot: Lot) -> None:
        self.lots[lot.id] = lot
        self.kept_bytes += lot.kept_bytes

    def _end_items(self, lot: Lot, results: tuple[e.Result, ...]) -> None:
        for result in results:
            item = lot.open_items.pop(result.item, None)
            if item is not None:
                lot.results.append(result)
                lot.failures.pop(result.item, None)
                self.kept_bytes += result_bytes(result) - item_bytes(item)

    def _end_lot(self, lot: Lot) -> None:
        self.kept_bytes -= sum(item_bytes(item) for item in lot.open_items.values())
        lot.ended = True
        lot.open_items.clear()

    def _drop_lot(self, lot_id: str) -> None:
        lot = self.lots.pop(lot_id, None)
        if lot is not None:
            self.kept_bytes -= lot.kept_bytes

    def retired_hosts(self) -> frozenset[str]:
        """The addresses of the machines that are to be emptied."""
        return frozenset(self.stores[node] for node in self.retired if node in self.stores)

    def _common(self) -> tuple[Any, ...]:
        """What belongs to no lot, equal where it is the same."""
        stores = sorted(self.stores.items())
        changes = self.changes.to_plain()
        return (self.version, changes, self.configuration, stores, sorted(self.retired))

    def _take_common(self, common: tuple[Any, ...]) -> None:
        self.version, changes, self.configuration, stores, retired = common
        self.changes = TakenChanges.from_plain(changes)
        self.stores, self.retired = dict(stores), set(retired)

    # Ranges

    @staticmethod
    def range_of(payload: bytes) -> int:
        """The range that an event changes."""
        lot = getattr(decode(payload), "lot", None)
        return COMMON_RANGE if lot is None else range_of_key(lot)

    def digests(self) -> tuple[bytes, ...]:
        """A digest of each range."""
        lots: list[list[bytes]] = [[] for _ in range(RANGES)]
        for lot in self.lots.values():
            lots[range_of_key(lot.id)].append(lot.id.encode() + lot.digest)
        lots[COMMON_RANGE] = [encode(self._common())]
        return tuple(digest_of(sorted(parts)) for parts in lots)

    def freeze(self) -> Iterator[tuple[int, bytes]]:
        """All ranges that are not empty with their content as it is now, encoded when iterated."""
        lots: dict[int, list[tuple[Any, ...]]] = {}
        for lot in self.lots.values():
            lots.setdefault(range_of_key(lot.id), []).append(lot.to_plain())
        contents: dict[int, Any] = {COMMON_RANGE: self._common(), **lots}
        return ((number, encode(content)) for number, content in contents.items())

    def dump_range(self, number: int) -> bytes:
        """The content of one range."""
        if number == COMMON_RANGE:
            return encode(self._common())
        return encode([lot.to_plain() for lot in self._lots_in(number)])

    def _lots_in(self, number: int) -> list[Lot]:
        return [lot for lot in self.lots.values() if range_of_key(lot.id) == number]

    def replace_ranges(self, contents: Mapping[int, bytes]) -> None:
        """Replaces the content of some ranges by dumped ones."""
        for number, content in contents.items():
            if number == COMMON_RANGE:
                self._take_common(decode(content))
                continue
            for lot in self._lots_in(number):
                self._drop_lot(lot.id)
            for plain in decode(content):
                self._add_lot(Lot.from_plain(plain))
