"""Splitting the bytes of an event stream into complete events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowwing.tier.front.events import EventSplitter

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
