"""Hands a request to the decision module, whose handle takes its updates from then on."""

from crowwing.logic.load_manager import LoadManager
from crowwing.protocol.arrival import Arrival
from crowwing.routing.open_request import OpenRequest


def admit(
    manager: LoadManager,
    now: int,
    request: OpenRequest,
    arrival: Arrival,
    class_id: int,
    customer: int,
    earlier_id: str,
    likely_retry: bool,
) -> None:
    """Passes a request to the module and keeps its handle."""
    # A time stamp ahead of the clock counts as now: the clock may have been set between the two readings.
    arrived = min(now, arrival.arrived)
    request.handle = manager.receive(
        now,
        request.id,
        class_id,
        customer,
        arrival.rank,
        arrival.kb,
        arrived,
        arrival.due,
        arrival.sidecar,
        earlier_id or 0,
        0,
        False,
        likely_retry,
    )
