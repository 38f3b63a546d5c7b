"""Which requests, open or ended, ask for the same piece of work, and the result that its repeats get.

A piece of work is known by its traffic type, its customer and its idempotency key, so no customer's result
reaches another; a ticket without a key stands for itself. What a repeat gets is the module's to decide.
"""

import heapq
from collections.abc import Callable
from itertools import count

from crowwing.contract import Idempotency
from crowwing.protocol.arrival import Arrival
from crowwing.routing.open_request import OpenRequest
from crowwing.routing.request_resolver import InvalidRequestError

OPEN_RECHECK = 1_000_000  # microseconds until an entry whose ticket is still open is looked at again

Work = tuple[int, int, str]


def work_of(arrival: Arrival, kind: int, customer: int) -> Work:
    """What a request asks for: the same in its retries."""
    return kind, customer, arrival.key or "\0" + arrival.id  # no header holds a 0: it stands for itself alone


class Entry:
    """One piece of work that may be running, or has run."""

    __slots__ = ("content", "followers", "id", "lag", "ran", "request", "result", "until", "work")

    def __init__(self, request: OpenRequest, until: int) -> None:
        """The work of a request, kept until `until` microseconds."""
        self.work, self.id, self.content = request.work, request.id, request.content
        self.until = until
        self.lag = request.handle.cls.deadline  # what came in time may be read so late
        self.request: OpenRequest | None = request  # until its ticket is closed
        self.ran = False
        self.result: bytes | None = None  # of the run that ended well
        self.followers: list[OpenRequest] = []  # wait for its end, which empties them


class RetryTable:
    """`tell` takes each ticket that shared a run, with its result or None where the run failed."""

    def __init__(self, notify: Callable[[OpenRequest, bytes | None], None]) -> None:
        """Nothing is known; see the class for `tell`."""
        self.notify = notify
        self.entries: dict[Work, Entry] = {}  # emptied in the order of their ends by expire()
        self.by_request_id: dict[str, Entry] = {}  # those that ran, by the id of their try; emptied with them
        self.expirations: list[tuple[int, int, Entry]] = []  # a heap, one item an entry
        self.sequence_numbers = count()
        self.current_turn: dict[
            Work, OpenRequest
        ] = {}  # the last try read before this turn, whose end empties it

    def find_earlier(self, request: OpenRequest, arrived: int) -> str:
        """The attempt that this one repeats, or ''.

        One that came while an entry stood repeats it, however late it is read; so does one that finds the
        first still open, though the window may be over.

        Raises InvalidRequestError for another body under the same key: it would get another's result.
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
        """The entry of the very same try, where it has run and ended: it crossed a close and came again.

        Raises InvalidRequestError for anything else under its id: the worker agent would take it for this.
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
        """It runs: from now on it is known, also where the module had no entry to keep it by."""
        kind = request.handle.cls
        if kind.idempotency is Idempotency.IDEMPOTENT:
            return
        keyed = kind.idempotency is Idempotency.KEYED
        self.keep(request, request.handle.arrived + kind.dedup_window if keyed else now + kind.deadline)
        self.by_request_id[request.id] = self.entries[request.work]
        self.by_request_id[request.id].ran = True

    def share(self, request: OpenRequest) -> None:
        """A request waits for the run of an earlier one, or gets its result."""
        entry = self.entries.get(request.work)
        if entry is not None and entry.request is not None and entry.result is None:
            entry.followers.append(request)
        else:
            self.notify(request, entry.result if entry is not None else None)

    def run_ended(self, request: OpenRequest, good: bool, ran: bool, result: bytes) -> None:
        """The run is over; `ran` is False where nothing was started."""
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
        """The module has closed a request."""
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
        """Once a turn: what has run out goes, at constant work for each."""
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
