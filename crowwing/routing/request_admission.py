"""Hands a request to the decision module, whose handle takes its news from then on."""

from crowwing.contract import IncomingRequest
from crowwing.logic.manager import LoadManager
from crowwing.protocol.arrival import Arrival
from crowwing.routing.open_request import OpenRequest


def admit(
    manager: LoadManager,
    now: int,
    request: OpenRequest,
    arrival: Arrival,
    kind: int,
    team: int,
    repeats: str,
    again: bool,
) -> None:
    """Makes the module take a request, and keeps its handle."""
    # A stamp ahead of our clock counts as now: the machine's clock may have stepped between the two readings.
    arrived = min(now, arrival.arrived)
    incoming = IncomingRequest(
        id=request.id,
        class_index=kind,
        tenant=team,
        rank=arrival.rank,
        size_kb=arrival.kb,
        arrived=arrived,
        deadline=arrival.due,
        caller=arrival.sidecar,
        repeat_of=repeats or 0,
        key=0,
        write=False,
        is_likely_retry=again,
    )
    request.handle = manager.take(now, incoming)
