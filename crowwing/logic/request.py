"""One open request of the backend: its data, its state, and the news of it that its owner hands in."""

from typing import Final, Protocol

from crowwing.contract import Id, Outcome, Result, TrafficType


class RequestState:
    """Where a request is: whole numbers, which index the counts of `RequestTable`.

    No enum, since states are compared many times for each request, and members of an enum take several times
    as long to look up.
    """

    NEW: Final = 0  # read, and not judged yet
    QUEUED: Final = 1
    RUNNING: Final = 2
    AWAITING_CALL: Final = 3  # its run needs a call to the service below, which is not out yet
    CALLING: Final = 4
    PAUSED: Final = 5  # its run was stopped half-way, and can go on
    SHARING: Final = 6  # it waits for the run of an earlier attempt
    CLOSED: Final = 7
    COUNT: Final = 8


class RequestHandler(Protocol):
    """Who acts on the news of requests."""

    def ended(self, request: "Request", now: int, took: int, outcome: Outcome) -> list[Result]:
        """See `Request.ended`."""
        ...

    def needs_call(self, request: "Request", now: int) -> list[Result]:
        """See `Request.needs_call`."""
        ...

    def called(self, request: "Request", now: int, took: int, outcome: Outcome) -> list[Result]:
        """See `Request.called`."""
        ...

    def gone(self, request: "Request", now: int) -> list[Result]:
        """See `Request.gone`."""
        ...


class Request:
    """The handle of one request. Made by `Admission.take`; `RequestTable.move` alone changes its state.

    Times are microseconds of the manager's clock.

    Attributes:
        id: its id on the wire.
        class_index: the place of its class among the deployment's.
        request_class: what the deployment says of that class.
        size_kb: what it takes in memory while it waits.
        memory_kb: what it takes now.
        state: where it is.
        rank: its priority from 0 to 1.
        tenant: the place of its tenant among the deployment's.
        arrived: when it came.
        deadline: when its caller gives up.
        latency_target: until when an answer earns its full value.
        repeat_of: the id of an earlier attempt, 0 where none is known.
        key: names what it reads or writes, 0 where nothing does.
        write: whether it writes that.
        answered: whether its final answer is out.
        closed: whether nothing more is to come; the handle can be dropped.
        has_run: whether a run of it, or one that it shares, has begun.
        runs_at_start: the requests on the cores when its run began.
        halted_at: when its run was last asked to stop, 0 before.
        call_requested_at: when its run asked for a call.
        call_attempts: how often that call was sent.
        call_not_before: when it may be sent again.
        call_deadline: when the call that is out is given up.
        call_time: the time that its run spent in calls.
    """

    def __init__(
        self,
        handler: RequestHandler,
        request_id: Id,
        class_index: int,
        request_class: TrafficType,
        size_kb: float,
    ) -> None:
        """A request that is not in the table yet."""
        self._handler = handler
        self.id = request_id
        self.class_index = class_index
        self.request_class = request_class
        self.size_kb = size_kb
        self.memory_kb = 0.0
        self.state: int = RequestState.CLOSED
        self.rank = 0.0
        self.tenant = 0
        self.arrived = 0
        self.deadline = 0
        self.latency_target = 0
        self.repeat_of: Id = 0
        self.key: Id = 0
        self.write = False
        self.answered = False
        self.closed = False
        self.has_run = False
        self.runs_at_start = 0.0
        self.halted_at = 0
        self.call_requested_at = 0
        self.call_attempts = 0
        self.call_not_before = 0
        self.call_deadline = 0
        self.call_time = 0

    def ended(self, now: int, took: int, outcome: Outcome) -> list[Result]:
        """Its run, or the one that it shares, is over after `took` microseconds."""
        return self._handler.ended(self, now, took, outcome)

    def needs_call(self, now: int) -> list[Result]:
        """Its run needs a call to the service below; it waits outside the limit."""
        return self._handler.needs_call(self, now)

    def called(self, now: int, took: int, outcome: Outcome) -> list[Result]:
        """Its call came back after `took` microseconds; after a good one the run goes on by itself."""
        return self._handler.called(self, now, took, outcome)

    def gone(self, now: int) -> list[Result]:
        """Its caller has given up; nothing is owed any more."""
        return self._handler.gone(self, now)
