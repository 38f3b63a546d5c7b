"""The open requests of one backend: by id, by state, in queues of their classes, and the memory they take."""

from crowwing.contract import Id, Premises, Repeat, Result, Step
from crowwing.logic.limits import MAX_USED_SHARE
from crowwing.logic.request import Request, RequestState

QUEUE_STATES = (RequestState.QUEUED, RequestState.PAUSED)
MAX_ENTRY_SHARE = 2 / 3  # of the memory that may be used, which entries leave the rest of to work


class RequestTable:
    """Owner of where each open request is. Admission adds them; all others move and close them here.

    Attributes:
        by_id: all open requests.
        arrivals: those that were read since the last turn, which empties it.
        queues: those that are queued or paused, by class.
        awaiting_call: those whose call is not out yet.
        counts: how many are in each state.
        memory_kb: what they take together.
        released: ids of those that were let go without a run in this turn, whose end empties it.
    """

    def __init__(self, facts: Premises) -> None:
        """No request is open."""
        self._facts = facts
        self._memory_factors = [1.0] * RequestState.COUNT
        self._memory_factors[RequestState.RUNNING] = facts.run_factor
        self._memory_factors[RequestState.CLOSED] = 0.0
        self.by_id: dict[Id, Request] = {}
        self.arrivals: list[Request] = []
        self.queues: list[list[Request]] = [[] for _ in facts.types]
        self.awaiting_call: list[Request] = []
        self.counts = [0] * RequestState.COUNT
        self.memory_kb = 0.0
        self.released: set[Id] = set()

    def add(self, request: Request) -> None:
        """A request has been read."""
        self.by_id[request.id] = request
        self.arrivals.append(request)
        self.move(request, RequestState.NEW)

    def queued(self) -> list[Request]:
        """All that are queued or paused, class by class."""
        return [request for queue in self.queues for request in queue]

    def move(self, request: Request, state: int, keeps_memory: bool = False) -> None:
        """Takes a request to another state, with its place and its memory.

        Args:
            request: the request.
            state: the state that it is in from now on.
            keeps_memory: whether it takes as much memory as before.
        """
        was = request.state
        if was in QUEUE_STATES:
            self.queues[request.class_index].remove(request)
        elif was == RequestState.AWAITING_CALL:
            self.awaiting_call.remove(request)
        self.counts[was] -= 1
        request.state = state
        self.counts[state] += 1
        if state in QUEUE_STATES:
            self.queues[request.class_index].append(request)
        elif state == RequestState.AWAITING_CALL:
            self.awaiting_call.append(request)
        if not keeps_memory:
            memory_kb = request.size_kb * self._memory_factors[state]
            self.memory_kb += memory_kb - request.memory_kb
            request.memory_kb = memory_kb

    def close(self, request: Request) -> None:
        """Nothing more is to come of a request."""
        self.move(request, RequestState.CLOSED)
        request.closed = True
        self.by_id.pop(request.id, None)

    def is_call_queue_full(self, request: Request) -> bool:
        """Whether a request would wait in the queue for calls below, and can't go without one."""
        request_class = request.request_class
        needs_call = request_class.calls and request_class.credit_without == 0
        return needs_call and len(self.awaiting_call) >= self._facts.cores


class EntryTable:
    """Entries by which a repeat of a request is known while its window is open. Owned by `LoadManager`.

    Attributes:
        expires_at: when each entry runs out, by the request's id.
    """

    def __init__(self, facts: Premises, table: RequestTable) -> None:
        """No entry is kept; the memory that requests take is the table's."""
        self._facts = facts
        self._table = table
        self.expires_at: dict[Id, int] = {}

    def used_kb(self) -> float:
        """The memory that requests and entries take."""
        return self._table.memory_kb + len(self.expires_at) * self._facts.key_kb

    def has_room(self) -> bool:
        """Whether one more entry leaves a third of the memory to work.

        Guards against entries, which go only as windows end, shutting out idempotent requests. Could harm
        where a window's keys need more.
        """
        max_kb, entry_kb = MAX_USED_SHARE * self._facts.memory_kb, self._facts.key_kb
        entries_kb = (len(self.expires_at) + 1) * entry_kb
        return self.used_kb() + entry_kb <= max_kb and entries_kb <= max_kb * MAX_ENTRY_SHARE

    def keep(self, request: Request, now: int, span: int, results: list[Result]) -> bool:
        """Keeps the entry of a request for `span` microseconds, or forgets it where that is not positive.

        Returns:
            Whether there is an entry from now on.
        """
        if span <= 0:
            if self.expires_at.pop(request.id, None) is not None:
                results.append((Step.FORGET, request, 0))
        elif request.id in self.expires_at or self.has_room():
            self.expires_at[request.id] = now + span
            results.append((Step.KEEP, request, span))
        return span > 0 and request.id in self.expires_at

    def expire(self, now: int) -> None:
        """Drops the entries whose time is up."""
        self.expires_at = {entry: until for entry, until in self.expires_at.items() if until > now}

    def is_kept_while_idempotent(self, request: Request) -> bool:
        """Whether the answer of an idempotent request is kept for those that ask the same."""
        return request.id in self.expires_at and request.request_class.repeat is Repeat.REDOABLE
