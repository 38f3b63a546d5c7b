"""Reads the body of a sidecar's response, and decides at its end whether it is complete.

Only the sidecar can tell that its response is complete. HTTP's framing alone does not suffice: a sidecar that
crashes may still end its response regularly, but it seldom does so between two events.
"""

from collections.abc import AsyncGenerator

from crowwing.tier.configuration import Route
from crowwing.tier.front.errors import StreamBrokenError
from crowwing.tier.front.events import EventStreamEnd
from crowwing.tier.front.upstream import ResponseStarted, read_body

OK_STATUS = 200
EVENT_STREAM_TYPE = b"text/event-stream"
EVENT_STREAM_KINDS = ("stream", "batch_queue")  # of routes whose sidecars answer with events


def is_event_stream(route: Route, started: ResponseStarted) -> bool:
    """Whether a response is a stream of events: by its route or its media type."""
    if route.kind in EVENT_STREAM_KINDS and started.status == OK_STATUS:
        return True
    media_type, _, _ = (started.header(b"content-type") or b"").partition(b";")
    return media_type.strip().lower() == EVENT_STREAM_TYPE


async def read_complete_body(route: Route, started: ResponseStarted) -> AsyncGenerator[bytes, None]:
    """Yields the body as it arrives; raises StreamBrokenError unless it ends as the sidecar meant it to."""
    end = EventStreamEnd()
    async for chunk in read_body(started):
        end.feed(chunk)
        yield chunk
    if is_event_stream(route, started) and end.is_inside_event:
        reason = "it ended inside an event"
        raise StreamBrokenError(reason)
