"""Reads the body of a sidecar's response, and decides at its end whether it is complete.

Only the sidecar can tell that its response is complete. A length or a last chunk does; a response with
neither ends with its connection, which the operating system closes in the same way if the process of the
sidecar crashes. So at such an end the sidecar must still be there. In any framing, a stream of events ends
behind an event.
"""

import asyncio
from collections.abc import AsyncGenerator

from crowwing.tier.configuration import Route
from crowwing.tier.front.errors import StreamBrokenError
from crowwing.tier.front.events import EventStreamEnd
from crowwing.tier.front.sidecar_state import SidecarState
from crowwing.tier.front.upstream import ResponseStarted, read_body

OK_STATUS = 200
STATUSES_WITHOUT_BODY = (204, 304)
EVENT_STREAM_TYPE = b"text/event-stream"
CRASH_SETTLE_S = 0.02  # until all sockets of a process that crashed are closed
CONNECT_TIMEOUT_S = 0.2


def is_event_stream(route: Route, started: ResponseStarted) -> bool:
    """Whether a response is a stream of events.

    A batch item's always is, since its result is made of events. Elsewhere the media type decides and, if
    there is none, the kind of the route.
    """
    is_ok = started.status == OK_STATUS
    if route.kind == "batch_queue" and is_ok:
        return True
    content_type = started.header(b"content-type")
    if content_type is None:
        return route.kind == "stream" and is_ok
    media_type, _, _ = content_type.partition(b";")
    return media_type.strip().lower() == EVENT_STREAM_TYPE


async def read_complete_body(
    route: Route, started: ResponseStarted, sidecar: SidecarState
) -> AsyncGenerator[bytes, None]:
    """Yields the body as it arrives; raises StreamBrokenError unless the sidecar has completed it."""
    end = EventStreamEnd()
    async for chunk in read_body(started):
        end.feed(chunk)
        yield chunk
    if is_event_stream(route, started) and end.is_inside_event:
        reason = "it ended inside an event"
        raise StreamBrokenError(reason)
    if _is_close_delimited(started) and await _has_crashed(sidecar):
        reason = "its sidecar crashed"
        raise StreamBrokenError(reason)


def _is_close_delimited(started: ResponseStarted) -> bool:
    """Whether nothing but the end of the connection ends the body (RFC 9112, 6.3)."""
    has_framing = (
        started.header(b"content-length") is not None or started.header(b"transfer-encoding") is not None
    )
    return not has_framing and started.status not in STATUSES_WITHOUT_BODY


async def _has_crashed(sidecar: SidecarState) -> bool:
    """Whether a sidecar that was not draining no longer accepts connections.

    A draining sidecar may stop listening as soon as its last responses are complete. Without a clear answer
    the sidecar counts as alive.
    """
    if sidecar.draining or not sidecar.entry.ready:
        return False
    await asyncio.sleep(CRASH_SETTLE_S)
    if any(not connection.has_expired() for connection in sidecar.connections.idle):
        return False  # a crash would have closed this connection too
    return await _is_refused(sidecar.entry.address)


async def _is_refused(address: str) -> bool:
    """Whether nothing listens at an address, HOST:PORT."""
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.transport.abort()
    return False
