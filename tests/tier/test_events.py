"""Splitting the bytes of an event stream into complete events."""

from crowwing.tier.front.events import EventSplitter

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
