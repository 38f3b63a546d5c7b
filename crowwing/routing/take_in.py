"""Take in: what came becomes a ticket of a known traffic type and customer, or is turned down by name."""

from crowwing.contract import Names
from crowwing.protocol.arrival import Arrival


class NoTicket(ValueError):
    """What came names something that is not served here."""


class TakeIn:
    def __init__(self, names: Names) -> None:
        self.types = {name: n for n, name in enumerate(names.types)}
        self.customers = {name: n for n, name in enumerate(names.customers)}
        self.tells_patience = names.tells_patience

    def place(self, arrival: Arrival) -> tuple[int, int]:
        """The places of its traffic type and its customer."""
        kind = self.types.get(arrival.type)
        if kind is None:
            raise NoTicket("unknown traffic type")
        if self.tells_patience and not arrival.due:
            raise NoTicket("it does not say how long its caller waits")
        if not self.customers:
            return kind, 0
        team = self.customers.get(arrival.customer)
        if team is None:
            raise NoTicket("unknown customer")
        return kind, team
