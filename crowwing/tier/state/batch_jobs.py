"""A lot as it is kept, and its plain form for snapshots and repairs."""

from dataclasses import dataclass, field
from typing import Any

from crowwing.tier.state import events

ENTRY_BYTES = 64  # about what an item or a result takes beside its texts


def item_bytes(item: events.BatchItem) -> int:
    """About what an item takes on disk and in memory."""
    headers = sum(len(name) + len(value) for name, value in item.headers)
    return ENTRY_BYTES + len(item.body) + len(item.path) + headers


def result_bytes(result: events.ItemResult) -> int:
    """About what a result takes on disk and in memory."""
    return ENTRY_BYTES + len(result.text)


@dataclass
class BatchJob:
    """One lot: what was handed in, what has a result, and in which order."""

    id: str
    host: str
    path: str
    at_ms: int
    total: int
    open_items: dict[str, events.BatchItem] = field(default_factory=dict)
    results: list[events.ItemResult] = field(default_factory=list)
    failures: dict[str, list[str]] = field(default_factory=dict)  # attempts that ended with a 500, by item
    ended: bool = False
    digest: bytes = b""  # of all events that it went through, in their order

    @property
    def done(self) -> bool:
        """Whether nothing of it is left to run."""
        return self.ended or not self.open_items

    @property
    def stored_bytes(self) -> int:
        """About what it takes on disk and in memory."""
        items = sum(item_bytes(item) for item in self.open_items.values())
        return items + sum(result_bytes(result) for result in self.results)

    def to_plain(self) -> tuple[Any, ...]:
        """Its fields as they are now, to be encoded."""
        return (
            self.id,
            self.host,
            self.path,
            self.at_ms,
            self.total,
            list(self.open_items.values()),
            list(self.results),
            {item: list(attempts) for item, attempts in self.failures.items()},
            self.ended,
            self.digest,
        )

    @classmethod
    def from_plain(cls, plain: tuple[Any, ...]) -> "BatchJob":
        """The lot that `to_plain` gave the fields of."""
        job_id, host, path, at_ms, total, items, results, failures, ended, digest = plain
        open_items = {item.id: item for item in items}
        results = list(results)
        failures = {item: list(attempts) for item, attempts in failures.items()}
        return cls(job_id, host, path, at_ms, total, open_items, results, failures, ended, digest)
