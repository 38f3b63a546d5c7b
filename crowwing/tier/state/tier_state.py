"""The state that results from applying the events of the log; equal logs give equal states."""

from collections.abc import Iterator, Mapping, Sequence

from crowwing.tier.replication.ranges import COMMON_RANGE, RANGE_COUNT, digest_of, range_of_key
from crowwing.tier.state import events
from crowwing.tier.state.batch_jobs import BatchJob, PlainBatchJob, item_bytes, result_bytes
from crowwing.tier.state.changes import AcceptedChanges, PlainChanges
from crowwing.tier.wire.codec import decode, encode

# Configuration version, changes and text; names and addresses of store machines; names of retired ones.
PlainCommon = tuple[int, PlainChanges, bytes | None, Sequence[tuple[str, str]], Sequence[str]]


class TierState:
    """The replicated state: the configuration, the batch jobs and the store machines.

    Owned by the replica, which changes it only through `apply` and `replace_ranges`; other code reads it. For
    repair the state is divided into ranges: jobs by the hash of their id, everything else in a common range.

    Attributes:
        version: The version of the configuration; 0 if there is none.
        configuration: The newest configuration as submitted.
        changes: The accepted changes of the configuration.
        jobs: The batch jobs by id, in the order of acceptance.
        stores: The addresses of the store machines by name.
        retired: The names of the store machines that are to be decommissioned.
        stored_bytes: The estimated size of all jobs on disk, in bytes.
    """

    def __init__(self) -> None:
        """Creates an empty state."""
        self.version = 0
        self.changes = AcceptedChanges()
        self.configuration: bytes | None = None
        self.jobs: dict[str, BatchJob] = {}
        self.stores: dict[str, str] = {}
        self.retired: set[str] = set()
        self.stored_bytes = 0

    def apply(self, payload: bytes, index: int) -> None:
        """Applies the event encoded in a log entry; raises MessageError.

        `index` is the index of the entry. The replica's `Machine` interface passes it; it is unused here.
        """
        del index
        event: events.Event = decode(payload)
        self.apply_event(event)
        job = self.jobs.get(getattr(event, "job_id", ""))
        if job is not None:
            job.digest = digest_of((job.digest, payload))

    def apply_event(self, event: events.Event) -> None:
        """Applies one event, without updating the digest of its job."""
        match event:
            case events.ConfigurationAccepted(version, base, text):
                self.version = version
                self.configuration = text
                self.changes.add(version, base, text)
            case events.BatchJobAccepted(job_id, host, path, items, at_ms):
                self._add_job(
                    BatchJob(job_id, host, path, at_ms, len(items), {item.id: item for item in items})
                )
            case events.ItemsCompleted(job_id, results):
                self._complete_items(self.jobs[job_id], results)
            case events.AttemptFailed(job_id, item, attempt):
                self.jobs[job_id].failures.setdefault(item, []).append(attempt)
            case events.BatchJobEnded(job_id):
                self._end_job(self.jobs[job_id])
            case events.BatchJobRemoved(job_id):
                self._remove_job(job_id)
            case events.StoreRegistered(node, host):
                self._add_store(node, host)
            case events.RetireRequested(node):
                self.retired.add(node)

    def _add_store(self, node: str, host: str) -> None:
        """Registers a store machine and removes an older name at its address, which machines may reuse."""
        self.stores = {name: other for name, other in self.stores.items() if other != host}
        self.stores[node] = host

    def _add_job(self, job: BatchJob) -> None:
        self.jobs[job.id] = job
        self.stored_bytes += job.stored_bytes

    def _complete_items(self, job: BatchJob, results: tuple[events.ItemResult, ...]) -> None:
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

    def _remove_job(self, job_id: str) -> None:
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self.stored_bytes -= job.stored_bytes

    def retired_hosts(self) -> frozenset[str]:
        """Returns the addresses of the store machines that are to be decommissioned."""
        return frozenset(self.stores[node] for node in self.retired if node in self.stores)

    def _common(self) -> PlainCommon:
        """Returns the content of the common range, sorted so that equal states give equal content."""
        stores = sorted(self.stores.items())
        changes = self.changes.to_plain()
        return (self.version, changes, self.configuration, stores, sorted(self.retired))

    def _load_common(self, common: PlainCommon) -> None:
        self.version, changes, self.configuration, stores, retired = common
        self.changes = AcceptedChanges.from_plain(changes)
        self.stores = dict(stores)
        self.retired = set(retired)

    # Ranges

    @staticmethod
    def range_of(payload: bytes) -> int:
        """Returns the range that an encoded event changes."""
        job_id = getattr(decode(payload), "job_id", None)
        return COMMON_RANGE if job_id is None else range_of_key(job_id)

    def digests(self) -> tuple[bytes, ...]:
        """Returns a digest of each range in the order of range numbers; replicas compare them for repair."""
        jobs: list[list[bytes]] = [[] for _ in range(RANGE_COUNT)]
        for job in self.jobs.values():
            jobs[range_of_key(job.id)].append(job.id.encode() + job.digest)
        jobs[COMMON_RANGE] = [encode(self._common())]
        return tuple(digest_of(sorted(digests)) for digests in jobs)

    def freeze(self) -> Iterator[tuple[int, bytes]]:
        """Returns a snapshot of all ranges that are not empty, encoded lazily during iteration.

        A disk thread iterates over it while the state keeps changing, so it shares no mutable data with it.
        """
        jobs: dict[int, list[PlainBatchJob]] = {}
        for job in self.jobs.values():
            jobs.setdefault(range_of_key(job.id), []).append(job.to_plain())
        contents: dict[int, PlainCommon | list[PlainBatchJob]] = {COMMON_RANGE: self._common(), **jobs}
        return ((number, encode(content)) for number, content in contents.items())

    def dump_range(self, number: int) -> bytes:
        """Returns the encoded content of one range."""
        if number == COMMON_RANGE:
            return encode(self._common())
        return encode([job.to_plain() for job in self._jobs_in(number)])

    def _jobs_in(self, number: int) -> list[BatchJob]:
        return [job for job in self.jobs.values() if range_of_key(job.id) == number]

    def replace_ranges(self, contents: Mapping[int, bytes]) -> None:
        """Replaces the content of some ranges by the output of `dump_range` of another replica."""
        for number, content in contents.items():
            if number == COMMON_RANGE:
                self._load_common(decode(content))
                continue
            for job in self._jobs_in(number):
                self._remove_job(job.id)
            for plain in decode(content):
                self._add_job(BatchJob.from_plain(plain))
