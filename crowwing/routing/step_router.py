"""Routes the steps that the decision module asks for to the components that carry them out."""

from collections.abc import Callable

from crowwing.contract import Result, Step
from crowwing.routing.event_recorder import EventRecorder
from crowwing.routing.open_request import OpenRequest


class StepRouter:
    """Carries out the steps of the decision module. Owned by `Dispatcher`."""

    def __init__(
        self,
        open_requests: dict[str, OpenRequest],
        request_steps: dict[Step, Callable[[OpenRequest, float], None]],
        server_steps: dict[Step, Callable[[float], None]],
        recorder: EventRecorder,
        abandon: Callable[[OpenRequest], None],
    ) -> None:
        """`abandon` ends a request whose step raised an exception."""
        self.open_requests, self.request_steps, self.server_steps = open_requests, request_steps, server_steps
        self.recorder, self.abandon = recorder, abandon

    def carry_out(self, results: list[Result]) -> None:
        """Carries out steps in order; a step that raises an exception affects its own request only."""
        for step, handle, figure in results:
            request = self.open_requests.get(handle.id) if handle is not None else None
            try:
                if handle is None:
                    self.server_steps[step](figure)
                elif request is not None and request.handle is handle:
                    self.request_steps[step](request, figure)
            except Exception:
                self.recorder.defect(step.name.lower(), request.id if request else None)
                if request is not None:
                    self.abandon(request)
