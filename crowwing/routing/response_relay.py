"""The one final answer of a request, to everyone who waits for it."""

from collections.abc import Callable
from contextlib import suppress

from crowwing.routing.event_recorder import EventRecorder
from crowwing.routing.open_request import Caller, OpenRequest


class ResponseRelay:
    """Sends final answers. Owned by `Dispatcher`."""

    def __init__(self, recorder: EventRecorder, answered: Callable[[OpenRequest, bool], None]) -> None:
        """`answered` hears of each answer, and whether it is a result."""
        self.recorder, self.answered = recorder, answered

    def settle(self, request: OpenRequest, result: bytes) -> None:
        """The result of its run."""
        self._tell(request, "settled", lambda caller: caller.settled(result))

    def dismiss(self, request: OpenRequest, away: float) -> None:
        """Rejected here; another backend may be tried."""
        self._tell(request, "dismissed", lambda caller: caller.dismissed(round(away), False))

    def dismiss_all(self, request: OpenRequest, away: float) -> None:
        """Rejected, and no other backend should be tried."""
        self._tell(request, "dismissed", lambda caller: caller.dismissed(round(away), True))

    def forfeit(self, request: OpenRequest, _: float = 0) -> None:
        """Failed: it may have run."""
        self._tell(request, "forfeited", lambda caller: caller.forfeited())

    def _tell(self, request: OpenRequest, answer: str, say: Callable[[Caller], None]) -> None:
        """Once only; the body is let go with the answer."""
        if not self.recorder.holds(not request.answered, f"{answer} after an answer"):
            return
        request.answered, request.body = True, b""
        self.recorder.count(answer)
        callers, request.callers = request.callers, []
        for caller in callers:
            try:
                say(caller)
            except Exception:
                self.recorder.defect(answer, request.id)
                with suppress(Exception):
                    caller.forfeited()
        self.answered(request, answer == "settled")  # only now: nothing comes before the callers' answer
