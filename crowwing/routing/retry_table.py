"""Finds requests that ask for the same piece of work, and keeps its result for retries.

A piece of work is identified by request class, customer and idempotency key, so that no customer gets the
result of another. A request without a key is a piece of work of its own. What a retry gets, the decision
module decides.
"""

import heapq
from collections.abc import Callable
from itertools import count

from crowwing.contract import Idempotency
from crowwing.protocol.arrival import Arrival
from crowwing.routing.open_request import OpenRequest
from crowwing.routing.request_resolver import InvalidRequestError

OPEN_RECHECK = 1_000_000  # microseconds until an entry whose request is still open is checked again

Work = tuple[int, int, str]


def work_of(arrival: Arrival, class_id: int, customer: int) -> Work:
    """The key of the piece of work that a request asks for; the same in its retries."""
    return class_id, customer, arrival.key or "\0" + arrival.id  # unique, since no header contains a NUL


class Entry:
    """A piece of work that may be running or has run."""

    __slots__ = ("content", "followers", "id", "lag", "ran", "request", "result", "until", "work")

    def __init__(self, request: OpenRequest, until: int) -> None:
        """`until` is in microseconds."""
        self.work, self.id, self.content = request.work, request.id, request.content
        self.until = until
        self.lag = request.handle.cls.deadline  # retries that arrived by `until` may be read so much later
        self.request: OpenRequest | None = request  # None once it is closed
        self.ran = False
        self.result: bytes | None = None  # of a successful run
        self.followers: list[OpenRequest] = []  # wait for the end of the run


class RetryTable:
    """The pieces of work that are open or still kept. Owned by `Dispatcher`."""

    def __init__(self, notify: Callable[[OpenRequest, bytes | None], None]) -> None:
        """`notify` gets each request that shared a run, and its result, or None if the run failed."""
        self.notify = notify
        self.entries: dict[Work, Entry] = {}  # removed by expire(), the earliest end first
        self.by_request_id: dict[str, Entry] = {}  # those that ran; removed with `entries`
        self.expirations: list[tuple[int, int, Entry]] = []  # a heap with one item per entry
        self.sequence_numbers = count()
        # The latest request for each piece of work since the last turn; cleared at the end of each turn.
        self.current_turn: dict[Work, OpenRequest] = {}

    def find_earlier(self, request: OpenRequest, arrived: int) -> str:
        """Returns the id of the attempt that this one repeats, or ''.

        A request that arrived while an entry was valid repeats it, however late it is read. So does one whose
        first attempt is still open, even if the window is over.

        Raises InvalidRequestError for another body under the same key: it would get the result of other work.
        """
        entry = self.entries.get(request.work)
        if entry is not None and entry.request is None and arrived > entry.until:
            entry = None
        earlier = self.current_turn.get(request.work, entry)
        if earlier is not None and earlier.content != request.content:
            raise InvalidRequestError("the key of another request")
        self.current_turn[request.work] = request
        return earlier.id if earlier is not None else ""

    def find_finished(self, arrival: Arrival, work: Work) -> Entry | None:
        """Returns the entry of the same attempt if it has run and ended.

        A sidecar sends an attempt again if the connection was closed while it was sent. Raises
        InvalidRequestError for any other request under this id: the worker agent could not tell them apart.
        """
        entry = self.by_request_id.get(arrival.id)
        if entry is None or entry.request is not None:
            return None
        if entry.work != work or entry.content != hash(arrival.body):
            raise InvalidRequestError("the id of another ticket")
        return entry

    def keep(self, request: OpenRequest, until: int) -> None:
        """Keeps the entry of a request until `until` microseconds."""
        entry = self.entries.get(request.work)
        if entry is not None and entry.id == request.id:
            entry.until = max(entry.until, until)
            return
        entry = self.entries[request.work] = Entry(request, until)
        heapq.heappush(self.expirations, (until + entry.lag, next(self.sequence_numbers), entry))

    def drop(self, request: OpenRequest) -> None:
        """Drops the entry of a request that did not run."""
        entry = self.entries.get(request.work)
        if entry is not None and entry.id == request.id and not entry.ran:
            del self.entries[request.work]
            self._notify_followers(entry, None)

    def run_started(self, request: OpenRequest, now: int) -> None:
        """Records that a request runs; creates its entry if the module did not ask for one."""
        cls = request.handle.cls
        if cls.idempotency is Idempotency.IDEMPOTENT:
            return
        keyed = cls.idempotency is Idempotency.KEYED
        self.keep(request, request.handle.arrived + cls.dedup_window if keyed else now + cls.deadline)
        self.by_request_id[request.id] = self.entries[request.work]
        self.by_request_id[request.id].ran = True

    def share(self, request: OpenRequest) -> None:
        """Makes a request wait for the run of an earlier one, or gives it the result at once."""
        entry = self.entries.get(request.work)
        if entry is not None and entry.request is not None and entry.result is None:
            entry.followers.append(request)
        else:
            self.notify(request, entry.result if entry is not None else None)

    def run_ended(self, request: OpenRequest, good: bool, ran: bool, result: bytes) -> None:
        """Records the end of a run; `ran` is False if nothing was started."""
        entry = self.by_request_id.get(request.id)
        if entry is None:
            return
        if not ran:
            if self.entries.get(request.work) is entry:
                del self.entries[request.work]
            del self.by_request_id[request.id]
            self._notify_followers(entry, None)
        elif good and request.handle.cls.idempotency is Idempotency.KEYED:
            entry.result = result
            self._notify_followers(entry, result)

    def request_closed(self, request: OpenRequest) -> None:
        """Records that the module has closed a request."""
        entry = self.by_request_id.get(request.id) or self.entries.get(request.work)
        if entry is None or entry.request is not request:
            return
        entry.request = None
        if not entry.ran:
            del self.entries[request.work]
        if entry.result is None:
            self._notify_followers(entry, None)

    def _notify_followers(self, entry: Entry, result: bytes | None) -> None:
        followers, entry.followers = entry.followers, []
        for request in followers:
            self.notify(request, result)

    def expire(self, now: int) -> None:
        """Removes expired entries, at constant cost for each; called once per turn."""
        self.current_turn.clear()
        while self.expirations and self.expirations[0][0] <= now:
            _, number, entry = heapq.heappop(self.expirations)
            has_entry, has_run = (
                self.entries.get(entry.work) is entry,
                self.by_request_id.get(entry.id) is entry,
            )
            if not has_entry and not has_run:
                continue
            if entry.request is not None or entry.until + entry.lag > now:
                recheck_at = max(
                    entry.until + entry.lag, now + OPEN_RECHECK if entry.request is not None else now
                )
                heapq.heappush(self.expirations, (recheck_at, number, entry))
                continue
            if has_entry:
                del self.entries[entry.work]
            if has_run:
                del self.by_request_id[entry.id]
