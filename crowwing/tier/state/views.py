"""The views that are folded from the events."""

from dataclasses import dataclass, field
from typing import Any

from crowwing.tier.state import events as e
from crowwing.tier.wire.codec import decode, encode

ENTRY_BYTES = 64  # about what an item or a result takes beside its texts


def item_bytes(item: e.Item) -> int:
    """About what an item takes on disk and in memory."""
    headers = sum(len(name) + len(value) for name, value in item.headers)
    return ENTRY_BYTES + len(item.body) + len(item.path) + headers


def result_bytes(result: e.Result) -> int:
    """About what a result takes on disk and in memory."""
    return ENTRY_BYTES + len(result.text)


@dataclass
class Lot:
    """One lot: what was handed in, what has a result, and in which order."""

    id: str
    host: str
    path: str
    at_ms: int
    total: int
    open_items: dict[str, e.Item] = field(default_factory=dict)
    results: list[e.Result] = field(default_factory=list)
    failures: dict[str, int] = field(default_factory=dict)
    ended: bool = False

    @property
    def done(self) -> bool:
        """Whether nothing of it is left to run."""
        return self.ended or not self.open_items

    @property
    def kept_bytes(self) -> int:
        """About what it takes on disk and in memory."""
        items = sum(item_bytes(item) for item in self.open_items.values())
        return items + sum(result_bytes(result) for result in self.results)


class TierState:
    """The folded state. It is changed by `apply` and `load` alone."""

    def __init__(self) -> None:
        self.version = 0
        self.base = 0
        self.configuration: bytes | None = None
        self.lots: dict[str, Lot] = {}
        self.stores: dict[str, str] = {}  # name to address
        self.retired: set[str] = set()  # names
        self.kept_bytes = 0  # about what all of it takes

    def apply(self, payload: bytes) -> None:
        """Folds one event in."""
        self.fold(decode(payload))

    def fold(self, event: Any) -> None:  # noqa: ANN401
        """Folds one event in."""
        match event:
            case e.ConfigurationTaken(version, base, text):
                self.version, self.base, self.configuration = version, base, text
            case e.LotTaken(lot, host, path, items, at_ms):
                self._add_lot(Lot(lot, host, path, at_ms, len(items), {item.id: item for item in items}))
            case e.ItemsEnded(lot, results):
                self._end_items(self.lots[lot], results)
            case e.AttemptFailed(lot, item):
                failures = self.lots[lot].failures
                failures[item] = failures.get(item, 0) + 1
            case e.LotEnded(lot):
                self._end_lot(self.lots[lot])
            case e.LotDropped(lot):
                self._drop_lot(lot)
            case e.StoreSeen(node, host):
                self.stores[node] = host
            case e.RetireAsked(node):
                self.retired.add(node)

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

    def dump(self) -> bytes:
        """The whole state."""
        lots = [
            (
                x.id,
                x.host,
                x.path,
                x.at_ms,
                x.total,
                list(x.open_items.values()),
                x.results,
                x.failures,
                x.ended,
            )
            for x in self.lots.values()
        ]
        plain = (self.version, self.base, self.configuration, lots, self.stores, sorted(self.retired))
        return encode(plain)

    def load(self, state: bytes) -> None:
        """Replaces the whole state by a dumped one."""
        self.version, self.base, self.configuration, lots, stores, retired = decode(state)
        self.stores, self.retired = dict(stores), set(retired)
        self.lots, self.kept_bytes = {}, 0
        for lot_id, host, path, at_ms, total, items, results, failures, ended in lots:
            open_items = {item.id: item for item in items}
            self._add_lot(
                Lot(lot_id, host, path, at_ms, total, open_items, list(results), dict(failures), ended)
            )
