"""Sends the one final answer of a request to all its callers."""

from collections.abc import Callable
from contextlib import suppress

from crowwing.routing.event_recorder import EventRecorder
from crowwing.routing.open_request import Caller, OpenRequest


class ResponseRelay:
    """Sends final answers. Owned by `Dispatcher`."""

    def __init__(self, recorder: EventRecorder, on_answer: Callable[[OpenRequest, bool], None]) -> None:
        """`on_answer` is called for each answer, with whether it is a result."""
        self.recorder, self.on_answer = recorder, on_answer

    def complete(self, request: OpenRequest, result: bytes) -> None:
        """Answers with the result of the run."""
        self._answer(request, "settled", lambda caller: caller.completed(result))

    def reject(self, request: OpenRequest, retry_after: float) -> None:
        """Rejects the request here; another backend may be tried."""
        self._answer(request, "dismissed", lambda caller: caller.rejected(round(retry_after), False))

    def reject_all(self, request: OpenRequest, retry_after: float) -> None:
        """Rejects the request; no other backend should be tried."""
        self._answer(request, "dismissed", lambda caller: caller.rejected(round(retry_after), True))

    def fail(self, request: OpenRequest, _: float = 0) -> None:
        """Reports a failure: the request may have run."""
        self._answer(request, "forfeited", lambda caller: caller.failed())

    def _answer(self, request: OpenRequest, answer: str, send: Callable[[Caller], None]) -> None:
        """Answers once only and drops the body."""
        if not self.recorder.verify(not request.answered, f"{answer} after an answer"):
            return
        request.answered, request.body = True, b""
        self.recorder.count(answer)
        callers, request.callers = request.callers, []
        for caller in callers:
            try:
                send(caller)
            except Exception:
                self.recorder.defect(answer, request.id)
                with suppress(Exception):
                    caller.failed()
        self.on_answer(request, answer == "settled")  # last, so that it can't delay the callers
