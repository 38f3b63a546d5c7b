"""The errors of connections between backends. All derive from `WireError`."""


class WireError(Exception):
    """Base class of all errors that this package raises."""


class MessageError(WireError):
    """Bytes from another backend, or from disk, that are no message that this version knows."""


class UnknownTagError(MessageError):
    """A CBOR tag that is not the one that messages have."""

    def __init__(self, tag: int) -> None:
        """Describes the error.

        Args:
            tag: the number of the tag.
        """
        super().__init__(f"unknown tag {tag}")


class UnknownMessageError(MessageError):
    """A message whose wire name no class is registered for."""

    def __init__(self, wire_name: object) -> None:
        """Describes the error.

        Args:
            wire_name: what stands in the place of the name.
        """
        super().__init__(f"unknown message {wire_name!r}")


class FrameTooLongError(MessageError):
    """A frame announces more bytes than are accepted."""

    def __init__(self, length_bytes: int, max_bytes: int) -> None:
        """Describes the error.

        Args:
            length_bytes: the announced length.
            max_bytes: the longest frame that is accepted.
        """
        super().__init__(f"a frame of {length_bytes} bytes, more than {max_bytes}")


class MalformedFrameError(MessageError):
    """A frame whose content is valid CBOR, but not a kind, the number of a call and a body."""

    def __init__(self) -> None:
        """Describes the error."""
        super().__init__("a frame that holds no kind, number and body")


class CallError(WireError):
    """A call got no response.

    Attributes:
        reason: what went wrong. It is forwarded to other processes in outcomes, so its texts are kept.
        sent: False only if the receiver can't have seen the request, so that it is safe to send it again.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        """Describes the error; see the attributes."""
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


class ConnectError(CallError):
    """No connection could be opened."""

    def __init__(self, host: str, port: int, cause: Exception) -> None:
        """Describes the error.

        Args:
            host: the address that was tried.
            port: its port.
            cause: what the network said; a `TimeoutError` without a text where it took too long.
        """
        super().__init__(f"{host}:{port}: {cause or 'no connection in time'}", sent=False)


class ConnectionClosedError(CallError):
    """The connection was closed before the request was written."""

    def __init__(self) -> None:
        """Describes the error."""
        super().__init__("the connection is closed", sent=False)


class ConnectionLostError(CallError):
    """The connection ended before the response came."""

    def __init__(self) -> None:
        """Describes the error."""
        super().__init__("the connection ended", sent=True)


class CallTimeoutError(CallError):
    """The response did not come in time.

    Attributes:
        timeout_s: how long it was waited for, in seconds.
    """

    def __init__(self, timeout_s: float) -> None:
        """Describes the error; see the attribute."""
        super().__init__("no answer in time", sent=True)
        self.timeout_s = timeout_s

    def __str__(self) -> str:
        """The reason with the time that was waited."""
        return f"{self.reason} ({self.timeout_s} s)"


class RemoteError(CallError):
    """The handler of the receiver raised an exception."""

    def __init__(self, reason: str) -> None:
        """Describes the error.

        Args:
            reason: the text of that exception.
        """
        super().__init__(reason, sent=True)
