"""Server-sent events: splits a byte stream into complete events.

Follows the HTML Standard, 9.2 "Server-sent events": CR LF, LF and CR end a line, a blank line ends an event,
and a byte order mark may precede the stream. Bytes that belong to no event (blank lines, comments) are kept,
so that the raw bytes of all events are the stream.
"""

import codecs
import re
from dataclasses import dataclass

from crowwing.tier.front.whole_numbers import parse_whole_number

# The end of a line and the blank line that ends its event. A last CR may be the first half of a CR LF, so it
# counts only if another byte follows, or behind a lone CR, where the sender uses CR alone.
_EVENT_END = re.compile(rb"\r\r\n?|(?:\r\n|\n)(?:\r\n|\n|\r(?=[^\n]))")
_LINE_END_BYTES = b"\r\n"
_FINAL_BLANK_LINE = (b"\n\n", b"\n\r", b"\r\r")  # at the end of a stream, where no LF can follow any more
_TAIL_BYTES = 3  # the last bytes of a stream that tell whether it ends with a blank line


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
        self._is_at_start = True

    @property
    def rest(self) -> bytes:
        """The bytes of an incomplete event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes to the buffer; returns the events that are now complete."""
        self._rest += data
        events: list[StreamEvent] = []
        while True:
            blank_bytes = len(self._rest) - len(self._rest.lstrip(_LINE_END_BYTES))
            end = _EVENT_END.search(self._rest, blank_bytes)
            if end is None:
                return events
            events.append(self._take(end.end()))

    def finish(self) -> list[StreamEvent]:
        """Ends a stream that is not inside an event; returns what the buffer still holds."""
        return [self._take(len(self._rest))] if self._rest else []

    def _take(self, length: int) -> StreamEvent:
        """Removes the first bytes from the buffer and parses them as an event."""
        raw, self._rest = self._rest[:length], self._rest[length:]
        event = parse_event(raw, self._is_at_start)
        self._is_at_start = False
        return event


class EventStreamEnd:
    """Tracks whether a stream of events is inside an event. Owned by the reader of one response's body."""

    def __init__(self) -> None:
        """Starts at the beginning of a stream."""
        self._tail = b""

    def feed(self, data: bytes) -> None:
        """Adds bytes of the stream."""
        self._tail = (self._tail + data[-_TAIL_BYTES:])[-_TAIL_BYTES:]

    @property
    def is_inside_event(self) -> bool:
        """Whether the stream would be incomplete if it ended here."""
        return bool(self._tail.strip(_LINE_END_BYTES)) and not self._tail.endswith(_FINAL_BLANK_LINE)


def parse_event(raw: bytes, is_at_start: bool = False) -> StreamEvent:
    """Parses the fields of one event; at the start of a stream a byte order mark is ignored."""
    fields = raw.removeprefix(codecs.BOM_UTF8) if is_at_start else raw
    event_id: int | None = None
    data: list[str] = []
    for line in _split_lines(fields.decode("utf-8", "replace")):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            number = parse_whole_number(value)
            event_id = event_id if number is None else number
        elif name == "data":
            data.append(value)
    return StreamEvent(raw, event_id, "\n".join(data), bool(data))


def _split_lines(text: str) -> list[str]:
    """Splits at CR LF, LF and CR, which alone end a line.

    `str.splitlines` also splits at U+2028, form feed and other characters, which are part of the data here.
    """
    return text.replace("\r\n", "\n").replace("\r", "\n").split("\n")
