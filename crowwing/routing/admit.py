"""Admit: hands a ticket to the module, which keeps its handle's news from then on."""

from crowwing.logic.manager import LoadManager
from crowwing.protocol.arrival import Arrival
from crowwing.routing.slip import Slip


def admit(
    manager: LoadManager,
    now: int,
    slip: Slip,
    arrival: Arrival,
    kind: int,
    team: int,
    repeats: str,
    again: bool,
) -> None:
    # A stamp ahead of our clock counts as now: the machine's clock may have stepped between the two readings.
    arrived = min(now, arrival.arrived)
    slip.handle = manager.take(
        now,
        slip.id,
        kind,
        team,
        arrival.rank,
        arrival.kb,
        arrived,
        arrival.due,
        arrival.sidecar,
        repeats or 0,
        0,
        False,
        again,
    )
