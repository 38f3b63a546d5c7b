"""The views that are folded from the events."""

from collections.abc import Iterator, Mapping
from typing import Any

from crowwing.tier.replication.ranges import COMMON_RANGE, RANGES, digest_of, range_of_key
from crowwing.tier.state import events
from crowwing.tier.state.batch_jobs import BatchJob, item_bytes, result_bytes
from crowwing.tier.state.changes import AcceptedChanges
from crowwing.tier.wire.codec import decode, encode


class TierState:
    """The folded state. It is changed by `apply` and `load` alone."""

    def __init__(self) -> None:
        self.version = 0
        self.changes = AcceptedChanges()
        self.configuration: bytes | None = None
        self.jobs: dict[str, BatchJob] = {}
        self.stores: dict[str, str] = {}  # name to address
        self.retired: set[str] = set()  # names
        self.stored_bytes = 0  # about what all of it takes

    def apply(self, payload: bytes, index: int) -> None:
        """Folds in the event with this place in the log."""
        event = decode(payload)
        self.fold(event)
        job = self.jobs.get(getattr(event, "job_id", ""))
        if job is not None:
            job.digest = digest_of((job.digest, payload))

    def fold(self, event: Any) -> None:  # noqa: ANN401
        """Folds one event in."""
        match event:
            case events.ConfigurationAccepted(version, base, text):
                self.version, self.configuration = version, text
                self.changes.add(version, base, text)
            case events.BatchJobAccepted(job_id, host, path, items, at_ms):
                self._add_job(
                    BatchJob(job_id, host, path, at_ms, len(items), {item.id: item for item in items})
                )
            case events.ItemsCompleted(job_id, results):
                self._end_items(self.jobs[job_id], results)
            case events.AttemptFailed(job_id, item, attempt):
                self.jobs[job_id].failures.setdefault(item, []).append(attempt)
            case events.BatchJobEnded(job_id):
                self._end_job(self.jobs[job_id])
            case events.BatchJobRemoved(job_id):
                self._drop_job(job_id)
            case events.StoreRegistered(node, host):
                self._add_store(node, host)
            case events.RetireRequested(node):
                self.retired.add(node)

    def _add_store(self, node: str, host: str) -> None:
        """A name has one address, and an address one name: a later machine may be given an earlier one's."""
        self.stores = {name: other for name, other in self.stores.items() if other != host}
        self.stores[node] = host

    def _add_job(self, job: BatchJob) -> None:
        self.jobs[job.id] = job
        self.stored_bytes += job.stored_bytes

    def _end_items(self, job: BatchJob, results: tuple[events.ItemResult, ...]) -> None:
        for result in results:
            item = job.open_items.pop(result.item, None)
            if item is not None:
                job.results.append(result)
                job.failures.pop(result.item, None)
                self.stored_bytes += result_bytes(result) - item_bytes(item)

    def _end_job(self, job: BatchJob) -> None:
        self.stored_bytes -= sum(item_bytes(item) for item in job.open_items.values())
        job.ended = True
        job.open_items.clear()

    def _drop_job(self, job_id: str) -> None:
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self.stored_bytes -= job.stored_bytes

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
        self.changes = AcceptedChanges.from_plain(changes)
        self.stores, self.retired = dict(stores), set(retired)

    # Ranges

    @staticmethod
    def range_of(payload: bytes) -> int:
        """The range that an event changes."""
        job_id = getattr(decode(payload), "job_id", None)
        return COMMON_RANGE if job_id is None else range_of_key(job_id)

    def digests(self) -> tuple[bytes, ...]:
        """A digest of each range."""
        jobs: list[list[bytes]] = [[] for _ in range(RANGES)]
        for job in self.jobs.values():
            jobs[range_of_key(job.id)].append(job.id.encode() + job.digest)
        jobs[COMMON_RANGE] = [encode(self._common())]
        return tuple(digest_of(sorted(parts)) for parts in jobs)

    def freeze(self) -> Iterator[tuple[int, bytes]]:
        """All ranges that are not empty with their content as it is now, encoded when iterated."""
        jobs: dict[int, list[tuple[Any, ...]]] = {}
        for job in self.jobs.values():
            jobs.setdefault(range_of_key(job.id), []).append(job.to_plain())
        contents: dict[int, Any] = {COMMON_RANGE: self._common(), **jobs}
        return ((number, encode(content)) for number, content in contents.items())

    def dump_range(self, number: int) -> bytes:
        """The content of one range."""
        if number == COMMON_RANGE:
            return encode(self._common())
        return encode([job.to_plain() for job in self._jobs_in(number)])

    def _jobs_in(self, number: int) -> list[BatchJob]:
        return [job for job in self.jobs.values() if range_of_key(job.id) == number]

    def replace_ranges(self, contents: Mapping[int, bytes]) -> None:
        """Replaces the content of some ranges by dumped ones."""
        for number, content in contents.items():
            if number == COMMON_RANGE:
                self._take_common(decode(content))
                continue
            for job in self._jobs_in(number):
                self._drop_job(job.id)
            for plain in decode(content):
                self._add_job(BatchJob.from_plain(plain))
