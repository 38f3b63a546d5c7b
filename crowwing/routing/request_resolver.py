"""Finds the class and the tenant of a request that came, or rejects it by name."""

from urllib.parse import unquote

from crowwing.contract import ServerFacts, WireNames
from crowwing.protocol.arrival import Arrival

MAX_TIME_OFFSET = 4  # outer limits of its traffic type that a ticket's times may lie from now


class InvalidRequestError(ValueError):
    """What came names something that is not served here."""


class RequestResolver:
    """The classes and tenants of the settings by name. Owned by `Dispatcher`."""

    def __init__(self, names: WireNames, facts: ServerFacts) -> None:
        """Resolves by what the settings say."""
        self.deadlines = [kind.deadline for kind in facts.classes]
        self.types = {name: n for n, name in enumerate(names.classes)}
        self.customers = {name: n for n, name in enumerate(names.customers)}
        self.requires_deadline = names.passes_deadline

    def resolve(self, arrival: Arrival, now: int) -> tuple[int, int]:
        """The places of its traffic type and its customer."""
        kind = self.types.get(arrival.type)
        if kind is None:  # in a path, letters that are not plain come encoded
            kind = self.types.get(unquote(arrival.type))
        if kind is None:
            raise InvalidRequestError("unknown traffic type")
        if self.requires_deadline and not arrival.due:
            raise InvalidRequestError("it does not say how long its caller waits")
        # Guards against made-up times, which the module would take for a reading jam or for endless patience.
        # Could do harm after a pause of the machine of several outer limits: nobody waits for those any more.
        max_offset = MAX_TIME_OFFSET * self.deadlines[kind]
        if abs(now - arrival.arrived) > max_offset or arrival.due - arrival.arrived > max_offset:
            raise InvalidRequestError("times far from now")
        if not self.customers:
            return kind, 0
        customer = self.customers.get(arrival.customer)
        if customer is None:
            raise InvalidRequestError("unknown customer")
        return kind, customer
