"""Batch jobs in the replicated state, and their encodable form for snapshots and range transfers."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from crowwing.tier.state import events

ITEM_OVERHEAD_BYTES = 64  # estimated overhead of an item or a result, on top of its texts


# The fields of a job in the order in which they are encoded and stored.
PlainBatchJob = tuple[
    str,
    str,
    str,
    int,
    int,
    Sequence[events.BatchItem],
    Sequence[events.ItemResult],
    Mapping[str, Sequence[str]],
    bool,
    bytes,
]


def item_bytes(item: events.BatchItem) -> int:
    """Returns the estimated size of an item on disk and in memory, in bytes."""
    headers = sum(len(name) + len(value) for name, value in item.headers)
    return ITEM_OVERHEAD_BYTES + len(item.body) + len(item.path) + headers


def result_bytes(result: events.ItemResult) -> int:
    """Returns the estimated size of a result on disk and in memory, in bytes."""
    return ITEM_OVERHEAD_BYTES + len(result.text)


@dataclass
class BatchJob:
    """One batch job with its open items and its results.

    Owned by `TierState`; nothing else modifies it.

    Attributes:
        id: The job's name, unique among all jobs.
        host: The host that the job was submitted to; together with `path` it determines the route.
        path: The path that the job was submitted to.
        at_ms: When the primary accepted the job: its wall-clock time in milliseconds.
        total: The number of items submitted.
        open_items: The items without a result, by id, in the order of submission.
        results: The final results. The index of a result is its position, which never changes.
        failures: By item, the attempts at open items that ended with status 500. They are stored by name, so
            that an attempt that is reported twice counts once.
        ended: Whether the client ended the job.
        digest: A digest of all events of the job in log order, by which replicas compare it.
    """

    id: str
    host: str
    path: str
    at_ms: int
    total: int
    open_items: dict[str, events.BatchItem] = field(default_factory=dict)
    results: list[events.ItemResult] = field(default_factory=list)
    failures: dict[str, list[str]] = field(default_factory=dict)
    ended: bool = False
    digest: bytes = b""

    @property
    def done(self) -> bool:
        """Whether there are no more items to run."""
        return self.ended or not self.open_items

    @property
    def stored_bytes(self) -> int:
        """Estimated size of the job on disk and in memory, in bytes."""
        items = sum(item_bytes(item) for item in self.open_items.values())
        return items + sum(result_bytes(result) for result in self.results)

    def to_plain(self) -> PlainBatchJob:
        """Returns a copy of the fields in the order of the stored format, which must not change."""
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
    def from_plain(cls, plain: PlainBatchJob) -> "BatchJob":
        """Restores a job from the fields that `to_plain` returned."""
        job_id, host, path, at_ms, total, items, results, failures, ended, digest = plain
        return cls(
            id=job_id,
            host=host,
            path=path,
            at_ms=at_ms,
            total=total,
            open_items={item.id: item for item in items},
            results=list(results),
            failures={item: list(attempts) for item, attempts in failures.items()},
            ended=ended,
            digest=digest,
        )
