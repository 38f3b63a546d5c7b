"""Unusual but valid request heads, on sockets, and clients that disconnect before the response head."""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any

import httpcore
import pytest

from crowwing.tier.front.asgi import ClientRequest, Message
from crowwing.tier.front.batch_api import BatchApi
from crowwing.tier.front.proxy import Proxy
from crowwing.tier.front.upstream import ResponseStarted
from tests.tier.exchanges import HOST
from tests.tier.scripted_sidecars import Request, answer, encoded, one, play, routes
from tests.tier.test_dispatch import scripted_pool


async def prompt(request: Request, writer: Any) -> None:  # noqa: ANN401
    """Responds at once."""
    writer.write(answer(request))


@pytest.mark.parametrize(
    "field",
    [
        b"Prompt-Prefix: x:\xb2,y:3\r\n", b"Last-Event-Id: \xb2\r\n",
        b"Last-Event-Id: " + b"9" * 5000 + b"\r\n",
        b"Deadline-Ms: \xb2\r\n", b"Model: m  \r\n", b"Model: \t m\t \r\n", b"X-Empty:   \r\n",
    ],
)  # fmt: skip
@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
def test_a_proper_request_with_an_odd_header_is_served(path: str, field: bytes) -> None:
    request = encoded(path).replace(b"Request-Id: r1\r\n", b"Request-Id: r1\r\n" + field)
    (found, _), got = play(prompt, lambda port: one(port, request))
    assert (found.status, found.body) == (200, b"ok")
    assert len(got) == 1, "it does not count as a failure of a sidecar"


def test_space_around_a_value_is_not_passed_on() -> None:
    request = encoded("/unsafe/x", "Model: \t m \t\r\n")
    _, got = play(prompt, lambda port: one(port, request))
    assert [request.headers["model"] for request in got] == ["m"]


def test_a_request_with_two_hosts_reaches_no_sidecar() -> None:
    request = encoded("/unsafe/x", "Host: other.example\r\n")
    (found, _), got = play(prompt, lambda port: one(port, request))
    assert found.status == 400 and got == []


@pytest.mark.parametrize(
    ("query", "header"),
    [("startAfter=%C2%B2", "0"), ("startAfter=" + "9" * 5000, "0"), ("startAfter=0", "²")],
)
def test_a_page_of_a_batch_job_needs_whole_numbers(query: str, header: str) -> None:
    sent: list[Message] = []

    async def send(message: Message) -> None:
        sent.append(message)

    request = ClientRequest("GET", "/lots/j1", query.encode(), [(b"wait-ms", header.encode("latin-1"))], b"")
    assert asyncio.run(BatchApi(None).serve_without_route(request, send))  # type: ignore[arg-type]
    assert sent[0]["status"] == 400


class EndlessBody:
    """A body that never ends, and records whether it was closed."""

    def __init__(self) -> None:
        self.is_closed = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields chunks forever."""
        while True:
            yield b"chunk"
            await asyncio.sleep(0.01)

    async def aclose(self) -> None:
        """Records that the proxy has closed it."""
        self.is_closed = True


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x"])
@pytest.mark.parametrize("is_cancelled", [False, True], ids=["its connection is gone", "it leaves meanwhile"])
def test_a_client_that_goes_before_the_head_leaves_nothing_open_at_the_sidecar(
    path: str, is_cancelled: bool
) -> None:
    asyncio.run(_leave_before_the_head(path, is_cancelled))


async def _leave_before_the_head(path: str, is_cancelled: bool) -> None:
    body = EndlessBody()
    stream = httpcore.AsyncMockStream([])
    response = httpcore.Response(200, content=body, extensions={"network_stream": stream})
    pool = scripted_pool([ResponseStarted(200, [], response)])
    pool.table = routes(service="advisor")
    gone = asyncio.Event()

    async def receive() -> Message:
        if not gone.is_set() and not received:
            received.append(True)
            return {"type": "http.request", "body": b"b", "more_body": False}
        await gone.wait()
        return {"type": "http.disconnect"}

    async def send(_message: Message) -> None:
        if not is_cancelled:
            raise OSError
        gone.set()
        await asyncio.sleep(60)

    received: list[bool] = []
    scope: Any = {
        "type": "http", "method": "POST", "raw_path": path.encode(), "query_string": b"",
        "headers": [(b"host", HOST.encode()), (b"request-id", b"r1")],
    }  # fmt: skip
    began = time.monotonic()
    await Proxy(pool, BatchApi(None))(scope, receive, send)  # type: ignore[arg-type]
    assert time.monotonic() - began < 5
    assert sum(state.inflight for state in pool.sidecars.of_service("advisor")) == 0
    assert body.is_closed
