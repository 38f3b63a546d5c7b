"""Resolves the request class and the customer of a request by their names."""

from urllib.parse import unquote

from crowwing.contract import ServerFacts, WireNames
from crowwing.protocol.arrival import Arrival

MAX_TIME_OFFSET = 4  # how far a request's times may be from now, in deadlines of its class


class InvalidRequestError(ValueError):
    """The request can't be served here, for the reason in the message."""


class RequestResolver:
    """The request classes and customers of the settings by name. Owned by `Dispatcher`."""

    def __init__(self, names: WireNames, facts: ServerFacts) -> None:
        """Takes the names and deadlines from the settings."""
        self.deadlines = [cls.deadline for cls in facts.classes]
        self.classes = {name: n for n, name in enumerate(names.classes)}
        self.customers = {name: n for n, name in enumerate(names.customers)}
        self.requires_deadline = names.passes_deadline

    def resolve(self, arrival: Arrival, now: int) -> tuple[int, int]:
        """Returns the indices of its request class and customer; raises InvalidRequestError."""
        class_id = self.classes.get(arrival.type)
        if class_id is None:  # in a path, special characters are percent-encoded
            class_id = self.classes.get(unquote(arrival.type))
        if class_id is None:
            raise InvalidRequestError("unknown traffic type")
        if self.requires_deadline and not arrival.due:
            raise InvalidRequestError("it does not say how long its caller waits")
        # Rejects made-up times, which the module would take for a backlog of unread requests or for an
        # unlimited deadline. It also rejects requests that were delayed by several deadlines, as after a
        # pause of the machine, but nobody waits for those any more.
        max_offset = MAX_TIME_OFFSET * self.deadlines[class_id]
        if abs(now - arrival.arrived) > max_offset or arrival.due - arrival.arrived > max_offset:
            raise InvalidRequestError("times far from now")
        if not self.customers:
            return class_id, 0
        customer = self.customers.get(arrival.customer)
        if customer is None:
            raise InvalidRequestError("unknown customer")
        return class_id, customer
