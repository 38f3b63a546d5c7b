"""Server-sent events: complete events out of the bytes of a stream."""

from dataclasses import dataclass

from crowwing.tier.front.whole_numbers import parse_whole_number


@dataclass(frozen=True)
class StreamEvent:
    """One complete event: its bytes with the empty line behind it, its id if it has one, and its data."""

    raw: bytes
    id: int | None
    data: str


class EventSplitter:
    """Splits the bytes of one response into complete events. Made by the dispatcher for each attempt."""

    def __init__(self) -> None:
        """Nothing has come."""
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """What has come of an event that is not complete yet."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """The events that these bytes complete."""
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
    """Where the first event ends (-1: nowhere), and how long the empty line behind it is."""
    plain, carriage = data.find(b"\n\n"), data.find(b"\r\n\r\n")
    if carriage >= 0 and (plain < 0 or carriage < plain):
        return carriage, 4
    return plain, 2


def parse_event(raw: bytes) -> StreamEvent:
    """Reads the fields of one event."""
    event_id: int | None = None
    data: list[str] = []
    for text in raw.decode("utf-8", "replace").splitlines():
        name, _, value = text.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            number = parse_whole_number(value)
            event_id = event_id if number is None else number
        elif name == "data":
            data.append(value)
    return StreamEvent(raw, event_id, "\n".join(data))
