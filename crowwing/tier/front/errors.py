"""The errors of the request path. Each layer maps those of the layer below to one of these."""


class FrontError(Exception):
    """The family of a front's own errors."""


class ClientDisconnectedError(FrontError):
    """The client closed its connection."""


class BodyTooLargeError(FrontError):
    """The client sends more than the configuration allows."""


class BodyTimeoutError(FrontError):
    """The client has sent nothing of its body for too long."""


class MalformedBatchJobError(FrontError):
    """A batch job that can't be read."""


class NoConnectionError(FrontError):
    """There is no connection for a request, and nothing of it was sent."""


class ConnectionsFullError(NoConnectionError):
    """The sidecar accepts no more connections, or this front may open no more there."""


class StreamBrokenError(FrontError):
    """The body of a response ended before its end."""
