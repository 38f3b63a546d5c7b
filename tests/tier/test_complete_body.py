"""The end of a response: complete answers stay complete, and answers that end early never look complete."""

import asyncio

import pytest

from tests.tier.scripted_sidecars import Request, answer, encoded, framings, one, play

TWO_EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


@pytest.mark.parametrize("framing", ["unframed", "chunked", "with a length"])
@pytest.mark.parametrize(
    ("path", "fields"),
    [("/stream/x", ""), ("/unsafe/x", "Content-Type: text/event-stream; charset=utf-8\r\n")],
)
def test_mixed_a_stream_that_ends_inside_an_event_does_not_look_complete(
    framing: str, path: str, fields: str
) -> None:
    # Guards against streams that are cut by a sidecar's crash and end as complete (issue 81, review/3).
    async def cut(request: Request, writer: asyncio.StreamWriter) -> None:
        response = framings(request, TWO_EVENTS[:-9])[framing]
        writer.write(response.replace(b"\r\n", b"\r\n" + fields.encode(), 1))
        await asyncio.sleep(0.05)  # so that the request's connection is not closed before the body arrived
        writer.close()

    (found, _), got = play(cut, lambda port: one(port, encoded(path)), resumable=False)
    assert (found.status, found.is_complete, len(got)) == (200, False, 1)


@pytest.mark.parametrize("framing", ["unframed", "chunked", "with a length"])
def test_a_complete_stream_ends_as_complete_whatever_its_framing(framing: str) -> None:
    # Guards against complete answers that are broken off by the check for streams that are cut.
    async def complete(request: Request, writer: asyncio.StreamWriter) -> None:
        writer.write(framings(request, TWO_EVENTS)[framing])
        await asyncio.sleep(0.05)
        writer.close()

    (found, _), _ = play(complete, lambda port: one(port, encoded("/stream/x")), resumable=False)
    assert (found.is_complete, found.body) == (True, TWO_EVENTS)


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x"])
@pytest.mark.parametrize("body", [b"", TWO_EVENTS[: len(TWO_EVENTS) // 2]])
def test_mixed_an_answer_without_a_length_does_not_look_complete_if_its_sidecar_crashed(
    path: str, body: bytes
) -> None:
    # Guards against answers that a crash cut between two events, or before any, and that end as complete.
    async def crashes(request: Request, writer: asyncio.StreamWriter) -> None:
        writer.write(framings(request, body)["unframed"])
        await asyncio.sleep(0.05)
        request.sidecars.crash(request)

    (found, _), got = play(crashes, lambda port: one(port, encoded(path)), resumable=False)
    assert (found.status, found.body, found.is_complete, len(got)) == (200, body, False, 1)


def test_a_stream_whose_sidecar_crashed_between_two_events_is_resumed() -> None:
    # Guards against resumable streams that a crash cut between two events and that end as complete.
    async def crashes(request: Request, writer: asyncio.StreamWriter) -> None:
        if "last-event-id" in request.headers:
            writer.write(answer(request, body=b"id: 2\ndata: b\n\n"))
            return
        writer.write(framings(request, b"id: 1\ndata: a\n\n")["unframed"])
        await asyncio.sleep(0.05)
        request.sidecars.crash(request)

    (found, _), got = play(crashes, lambda port: one(port, encoded("/stream/x", "Deadline-Ms: 3000\r\n")))
    assert (found.is_complete, found.body, len(got)) == (True, TWO_EVENTS, 2)


def test_a_draining_sidecar_may_end_with_its_last_answer() -> None:
    # Guards against complete answers that are broken off since their sidecar has left as planned.
    async def leaves(request: Request, writer: asyncio.StreamWriter) -> None:
        request.sidecars.pool.apply_endpoint_list(request.sidecars.listed(ready=False))
        writer.write(framings(request, TWO_EVENTS)["unframed"])
        await asyncio.sleep(0.05)
        request.sidecars.crash(request)

    (found, _), _ = play(leaves, lambda port: one(port, encoded("/stream/x")), resumable=False)
    assert (found.is_complete, found.body) == (True, TWO_EVENTS)


@pytest.mark.parametrize("resumable", [True, False])
def test_an_answer_of_another_media_type_is_no_stream_on_any_route(resumable: bool) -> None:
    # Guards against complete answers that are broken off since they do not end with a blank line.
    async def reply(request: Request, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(request, body=b'{"text":"x"}', fields="Content-Type: application/json\r\n"))

    (found, _), got = play(reply, lambda port: one(port, encoded("/stream/x")), resumable=resumable)
    assert (found.is_complete, found.body, len(got)) == (True, b'{"text":"x"}', 1)


@pytest.mark.parametrize("body", [TWO_EVENTS + b"\n", TWO_EVENTS.replace(b"\n", b"\r")])
def test_mixed_a_resumable_stream_reaches_the_client_byte_for_byte(body: bytes) -> None:
    # Guards against bodies that lack blank lines behind the last event, and events whose lines end with CR.
    async def reply(request: Request, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(request, body=body))

    (found, _), got = play(reply, lambda port: one(port, encoded("/stream/x")))
    assert (found.is_complete, found.body, len(got)) == (True, body, 1)


def test_a_stream_with_comments_is_resumed_behind_its_last_event() -> None:
    # Guards against streams that heartbeats make impossible to resume, as if an event had no id.
    async def breaks_off(request: Request, writer: asyncio.StreamWriter) -> None:
        if "last-event-id" in request.headers:
            writer.write(answer(request, body=b"id: 2\ndata: b\n\n"))
            return
        writer.write(answer(request, body=b"id: 1\ndata: a\n\n: heartbeat\n\nid: 2\n")[:-1])
        await asyncio.sleep(0.05)
        writer.transport.abort()

    (found, _), got = play(breaks_off, lambda port: one(port, encoded("/stream/x", "Deadline-Ms: 3000\r\n")))
    assert found.is_complete and found.body.replace(b": heartbeat\n\n", b"") == TWO_EVENTS
    assert [request.headers.get("last-event-id") for request in got] == [None, "1"]
