"""Splitting the bytes of an event stream into complete events."""

from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowwing.tier.front.events import EventSplitter, EventStreamEnd

# Line ends to Unicode and to `str.splitlines`, but not to the format of event streams.
UNICODE_LINE_SEPARATORS = ["\u2028", "\u2029", "\u0085", "\v", "\f", "\x1c", "\x1d", "\x1e"]

STREAM = (
    b"id: 1\ndata: one\n\nversions: 2\nid: 2\ndata: two\ndata: more\n\n: note\n\nid: 3\r\ndata:three\r\n\r\n"
)


def test_any_split_into_chunks_gives_the_same_events() -> None:
    unsplit = EventSplitter().feed(STREAM)
    assert [(event.id, event.data) for event in unsplit] == [
        (1, "one"),
        (2, "two\nmore"),
        (None, ""),
        (3, "three"),
    ]
    assert b"".join(event.raw for event in unsplit) == STREAM
    for size in range(1, 12):
        splitter = EventSplitter()
        events = [e for at in range(0, len(STREAM), size) for e in splitter.feed(STREAM[at : at + size])]
        assert events == unsplit and splitter.rest == b""


def test_an_incomplete_event_is_kept_back() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: half") == []
    assert splitter.rest == b"id: 1\ndata: half"


@pytest.mark.parametrize("separator", UNICODE_LINE_SEPARATORS)
def test_mixed_text_behind_a_unicode_line_separator_stays_in_the_data(separator: str) -> None:
    # Guards against batch results that are completed but lack the text behind such a character (issue 81).
    data = f"first{separator}second{separator}"
    assert [event.data for event in EventSplitter().feed(f"id: 1\ndata: {data}\n\n".encode())] == [data]


@given(st.text(st.characters(exclude_characters="\r\n", codec="utf-8")))
def test_mixed_any_text_without_a_line_end_comes_back_unchanged(data: str) -> None:
    # Guards against any other character that is taken for a line end or removed.
    assert [event.data for event in EventSplitter().feed(f"id: 1\ndata: {data}\n\n".encode())] == [data]


LINE_ENDS = ["\n", "\r\n", "\r"]
LINE_END_PAIRS = [pair for pair in product(LINE_ENDS, repeat=2) if pair != ("\r", "\n")]  # that is one CR LF


@pytest.mark.parametrize(("line_end", "blank"), LINE_END_PAIRS)
def test_a_blank_line_ends_an_event_whatever_ends_its_lines(line_end: str, blank: str) -> None:
    # Guards against streams that seem to end inside an event, and events that are joined, by some line ends.
    events = [f"id: {n}{line_end}data: {n}{line_end}data: more{line_end}{blank}" for n in (1, 2, 3)]
    stream = "".join(events).encode()
    for size in range(1, len(stream) + 1):
        splitter = EventSplitter()
        found = [e for at in range(0, len(stream), size) for e in splitter.feed(stream[at : at + size])]
        found += splitter.finish()
        assert [(e.id, e.data) for e in found if e.has_data] == [(n, f"{n}\nmore") for n in (1, 2, 3)]
        assert b"".join(e.raw for e in found) == stream


def test_a_byte_order_mark_at_the_start_of_a_stream_is_no_part_of_a_field() -> None:
    # Guards against a first event that loses its id and data.
    events = EventSplitter().feed("\ufeffid: 1\ndata: a\n\n\ufeffdata: b\n\n".encode())
    assert [(event.id, event.data) for event in events] == [(1, "a"), (None, "")]


@given(st.lists(st.sampled_from([b"\r", b"\n", b"data: x", b"id: 1", b":"]), max_size=12), st.integers(1, 9))
def test_the_bytes_of_all_events_are_the_stream(parts: list[bytes], size: int) -> None:
    # Guards against bytes that are lost or moved between events.
    stream = b"".join(parts)
    splitter = EventSplitter()
    events = [event for at in range(0, len(stream), size) for event in splitter.feed(stream[at : at + size])]
    events += splitter.finish()
    assert b"".join(event.raw for event in events) == stream


@pytest.mark.parametrize(("line_end", "blank"), LINE_END_PAIRS)
def test_a_stream_is_complete_only_behind_a_blank_line(line_end: str, blank: str) -> None:
    # Guards against streams that are cut inside an event and look complete, whatever ends their lines.
    stream = f"id: 1{line_end}data: 1{line_end}{blank}id: 2{line_end}data: 2{line_end}{blank}".encode()
    for length in range(len(stream) + 1):
        cut = stream[:length]
        is_complete = not cut or cut.endswith((b"\n\n", b"\r\r", b"\n\r", b"\r\r\n", b"\n\r\n"))
        for size in (1, 2, 3, 5, len(stream)):
            end = EventStreamEnd()
            for at in range(0, length, size):
                end.feed(cut[at : at + size])
            assert end.is_inside_event is not is_complete, cut
