"""Errors of the request path. Each layer maps the errors of the layer below to one of these."""


class FrontError(Exception):
    """Base class of the errors of a front."""


class ClientDisconnectedError(FrontError):
    """The client closed its connection."""


class BodyTooLargeError(FrontError):
    """The request body is larger than the configuration allows."""


class BodyTimeoutError(FrontError):
    """The client sent nothing of the request body within the time-out."""


class MalformedBatchJobError(FrontError):
    """The body of a batch job submission is invalid."""


class NoConnectionError(FrontError):
    """No connection was available for a request; nothing of it was sent."""


class ConnectionsFullError(NoConnectionError):
    """The sidecar accepts no more connections, or this front has reached its share of them."""


class StreamBrokenError(FrontError):
    """The body of a response ended early."""
