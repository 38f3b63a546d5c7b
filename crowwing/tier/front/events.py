"""Server-sent events: splits a byte stream into complete events."""

from dataclasses import dataclass

from crowwing.tier.front.whole_numbers import parse_whole_number


@dataclass(frozen=True)
class StreamEvent:
    """One block of a stream, up to its blank line.

    Attributes:
        raw: Its bytes, including the blank line.
        id: Its id, if it has one.
        data: The text of its data fields, joined by line feeds.
        has_data: Whether it has a data field. A block without one, such as a comment, is not an event.
    """

    raw: bytes
    id: int | None
    data: str
    has_data: bool


class EventSplitter:
    """Splits the bytes of one response into complete events. Created by the dispatcher for each attempt."""

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """The bytes of an incomplete event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes to the buffer; returns the events that are now complete."""
        self._rest += data
        events: list[StreamEvent] = []
        while True:
            end, length = _find_end(self._rest)
            if end < 0:
                return events
            raw = self._rest[: end + length]
            self._rest = self._rest[end + length :]
            events.append(parse_event(raw))


def _find_end(data: bytes) -> tuple[int, int]:
    """Returns where the first event ends (-1 if it is incomplete), and the length of its terminator."""
    plain, carriage = data.find(b"\n\n"), data.find(b"\r\n\r\n")
    if carriage >= 0 and (plain < 0 or carriage < plain):
        return carriage, 4
    return plain, 2


def parse_event(raw: bytes) -> StreamEvent:
    """Parses the fields of one event."""
    event_id: int | None = None
    data: list[str] = []
    for line in _split_lines(raw.decode("utf-8", "replace")):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            number = parse_whole_number(value)
            event_id = event_id if number is None else number
        elif name == "data":
            data.append(value)
    return StreamEvent(raw, event_id, "\n".join(data), bool(data))


def _split_lines(text: str) -> list[str]:
    """Splits at CR LF, LF and CR, which alone end a line (HTML Standard, 9.2.5, "Server-sent events").

    `str.splitlines` also splits at U+2028, form feed and other characters, which are part of the data here.
    """
    return text.replace("\r\n", "\n").replace("\r", "\n").split("\n")
