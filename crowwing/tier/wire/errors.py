"""Errors of connections between backends. All derive from `WireError`."""


class WireError(Exception):
    """Base class of all errors that this package raises."""


class MessageError(WireError):
    """Bytes from another backend or from disk can't be decoded as a message known to this version."""


class UnknownTagError(MessageError):
    """A CBOR tag is not the tag of messages."""

    def __init__(self, tag: int) -> None:
        """Describes the error.

        Args:
            tag: the tag number.
        """
        super().__init__(f"unknown tag {tag}")


class UnknownMessageError(MessageError):
    """No class is registered for the wire name of a message."""

    def __init__(self, wire_name: object) -> None:
        """Describes the error.

        Args:
            wire_name: the decoded name, of any type.
        """
        super().__init__(f"unknown message {wire_name!r}")


class FrameTooLongError(MessageError):
    """The length of a frame exceeds the limit."""

    def __init__(self, length_bytes: int, max_bytes: int) -> None:
        """Describes the error.

        Args:
            length_bytes: the frame's length prefix.
            max_bytes: the maximum length.
        """
        super().__init__(f"frame of {length_bytes} bytes exceeds the limit of {max_bytes}")


class MalformedFrameError(MessageError):
    """The content of a frame is valid CBOR, but not a kind, a call number and a body."""

    def __init__(self) -> None:
        """Describes the error."""
        super().__init__("malformed frame: expected a kind, a call number and a body")


class CallError(WireError):
    """A call got no response.

    Attributes:
        reason: the reason; it is forwarded to other processes in outcomes, so its texts must not change.
        sent: False only if the receiver can't have received the request, so that it is safe to resend it.
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
            host: the address.
            port: its port.
            cause: the network's error; a `TimeoutError` without a text if connecting timed out.
        """
        super().__init__(f"{host}:{port}: {cause or 'no connection in time'}", sent=False)


class ConnectionClosedError(CallError):
    """The connection was closed before the request was written."""

    def __init__(self) -> None:
        """Describes the error."""
        super().__init__("the connection is closed", sent=False)


class ConnectionLostError(CallError):
    """The connection ended before the response was received."""

    def __init__(self) -> None:
        """Describes the error."""
        super().__init__("the connection ended", sent=True)


class CallTimeoutError(CallError):
    """The call timed out.

    Attributes:
        timeout_s: the time-out, in seconds.
    """

    def __init__(self, timeout_s: float) -> None:
        """Describes the error; see the attribute."""
        super().__init__("no answer in time", sent=True)
        self.timeout_s = timeout_s

    def __str__(self) -> str:
        """The reason and the time-out."""
        return f"{self.reason} ({self.timeout_s} s)"


class RemoteError(CallError):
    """The receiver's handler raised an exception."""

    def __init__(self, reason: str) -> None:
        """Describes the error.

        Args:
            reason: the text of that exception.
        """
        super().__init__(reason, sent=True)
