"""Responses of misbehaving sidecars never reach the wrong caller, and no request is executed twice."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import uvloop

from crowwing.tier.front.errors import StreamBrokenError
from crowwing.tier.front.sidecar_connections import ConnectionState
from crowwing.tier.front.upstream import (
    AttemptOutcome,
    Headers,
    NotExecuted,
    ResponseLost,
    ResponseStarted,
    SidecarClient,
    close_after_answer,
    hop_by_hop,
    read_body,
)
from tests.tier.exchanges import run_seed
from tests.tier.misbehaving_sidecar import RESET_ON_CLOSE

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
TRUNCATED_RESPONSE = (
    b"HTTP/1.1 200 Told\r\nServer-Stamp: old\r\nRequest-Id: r0\r\nContent-Length: 90\r\n\r\nsurplus"
)
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize("seed", range(5))
def test_faulty_sidecars_cause_no_misdelivered_response_and_no_second_run(seed: int) -> None:
    outcome = run_seed(seed, 2000)
    assert not outcome.findings, outcome.findings[:5]
    assert outcome.exchanges >= 2000 and outcome.served > 0.8 * outcome.exchanges


async def request_with_script(script: Script, body: bytes = b"", max_connections: int = 4) -> Any:  # noqa: ANN401
    """Sends one request to a scripted sidecar, and returns what `read_complete` makes of the outcome."""
    server = await asyncio.start_server(script, "127.0.0.1", 0)
    client = SidecarClient(
        f"127.0.0.1:{server.sockets[0].getsockname()[1]}", ConnectionState(max_connections)
    )
    try:
        return await read_complete(await send(client, "r1", body))
    finally:
        await client.close()
        server.close()


async def send(client: SidecarClient, request_id: str, body: bytes = b"") -> AttemptOutcome:
    """Sends one request."""
    headers: Headers = [(b"Host", b"h"), (b"Request-Id", request_id.encode())]
    headers.append((b"Content-Length", str(len(body)).encode()))
    return await client.send("POST", b"/p", headers, body, request_id.encode())


async def read_complete(outcome: AttemptOutcome) -> Any:  # noqa: ANN401
    """Returns the body of a response, StreamBrokenError if it broke, or another outcome unchanged."""
    if not isinstance(outcome, ResponseStarted):
        return outcome
    try:
        return b"".join([part async for part in read_body(outcome)])
    except StreamBrokenError as error:
        return error
    finally:
        await close_after_answer(outcome.response)


def script_sending(*parts: bytes, resets: bool = False) -> Script:
    """A script that reads a head, sends some parts, and closes or resets the connection."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.01)
        if resets:
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        writer.close()

    return script


UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\npart"
RUNNERS = [asyncio.run, uvloop.run]


@pytest.mark.parametrize("run", RUNNERS)
def test_a_response_without_a_length_is_complete_at_eof_and_broken_by_a_reset(run: Any) -> None:  # noqa: ANN401
    assert run(request_with_script(script_sending(UNFRAMED, b" two"))) == b"part two"
    assert isinstance(run(request_with_script(script_sending(UNFRAMED, resets=True))), StreamBrokenError)


@pytest.mark.parametrize("cut", [*range(len(COMPLETE_RESPONSE) - 1)])
@pytest.mark.parametrize("resets", [False, True])
def test_a_response_truncated_at_any_byte_is_never_complete_and_may_have_run(cut: int, resets: bool) -> None:
    outcome = uvloop.run(request_with_script(script_sending(COMPLETE_RESPONSE[:cut], resets=resets)))
    assert isinstance(outcome, (ResponseLost, StreamBrokenError)), outcome


@pytest.mark.parametrize(
    "response",
    [
        COMPLETE_RESPONSE.replace(b"Request-Id: r1\r\n", b""),
        COMPLETE_RESPONSE.replace(b"r1", b"r2"),
        COMPLETE_RESPONSE.replace(b"200 OK", b"421 No").replace(b"r1", b"r2"),
        COMPLETE_RESPONSE.replace(b"r1", b"r2\r\nNot-Executed: 1"),
        b"HTTP/1.1 101 Switching Protocols\r\nRequest-Id: r1\r\n\r\n",
    ],
)
def test_a_response_to_another_request_leaves_the_outcome_unknown(response: bytes) -> None:
    assert isinstance(uvloop.run(request_with_script(script_sending(response))), ResponseLost)


@pytest.mark.parametrize("cut", range(1, len(TRUNCATED_RESPONSE)))
def test_a_truncated_head_followed_by_the_next_response_is_discarded(cut: int) -> None:
    """Guards against joining a partly received surplus response with the head of the response after it."""
    outcome = uvloop.run(
        request_with_script(
            script_sending(TRUNCATED_RESPONSE[:cut] + COMPLETE_RESPONSE.replace(b"200 OK", b"500 No"))
        )
    )
    assert isinstance(outcome, (ResponseLost, StreamBrokenError)), outcome


@pytest.mark.parametrize(
    "surplus", [COMPLETE_RESPONSE, COMPLETE_RESPONSE[:7], b"\r\n", COMPLETE_RESPONSE.replace(b"r1", b"r0")]
)
@pytest.mark.parametrize("pause_s", [None, 0.0, 0.02])
def test_a_connection_with_surplus_bytes_after_a_response_is_not_reused(
    surplus: bytes, pause_s: float | None
) -> None:
    connections = 0

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            response = (
                COMPLETE_RESPONSE
                if b"r1" in head
                else COMPLETE_RESPONSE.replace(b"r1", b"r2").replace(b"ok", b"hi")
            )
            surplus_now = surplus if b"r1" in head else b""
            if pause_s is None:
                writer.write(response + surplus_now)
            else:
                writer.write(response)
                await asyncio.sleep(pause_s)
                writer.write(surplus_now)

    async def twice() -> list[Any]:
        server = await asyncio.start_server(script, "127.0.0.1", 0)
        client = SidecarClient(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", ConnectionState(1))
        responses = [await read_complete(await send(client, "r1"))]
        await asyncio.sleep(0.06)
        responses.append(await read_complete(await send(client, "r2")))
        await client.close()
        server.close()
        return responses

    assert uvloop.run(twice()) == [b"ok", b"hi"]
    assert connections == 2


def test_a_connection_is_reused_after_a_complete_response() -> None:
    connections = 0

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            writer.write(COMPLETE_RESPONSE if b"r1" in head else COMPLETE_RESPONSE.replace(b"r1", b"r2"))

    async def many() -> None:
        server = await asyncio.start_server(script, "127.0.0.1", 0)
        client = SidecarClient(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", ConnectionState(4))
        for number in range(10):
            assert await read_complete(await send(client, "r1" if number % 2 else "r2")) == b"ok"
        await client.close()
        server.close()

    uvloop.run(many())
    assert connections == 1


def test_a_request_is_not_executed_if_connecting_fails_or_no_connection_is_available() -> None:
    async def rejected() -> AttemptOutcome:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            client = SidecarClient(f"127.0.0.1:{free.getsockname()[1]}", ConnectionState(1))
        return await send(client, "r1")

    assert isinstance(uvloop.run(rejected()), NotExecuted)
    heads = 0

    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal heads
        await reader.readuntil(b"\r\n\r\n")
        heads += 1
        await reader.read()

    async def beyond_connection_limit() -> AttemptOutcome:
        server = await asyncio.start_server(silent, "127.0.0.1", 0)
        client = SidecarClient(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", ConnectionState(1))
        first = asyncio.ensure_future(send(client, "r1"))
        await asyncio.sleep(0.05)
        second = await send(client, "r2")
        first.cancel()
        await client.close()
        server.close()
        return second

    assert isinstance(uvloop.run(beyond_connection_limit()), NotExecuted)
    assert heads == 1, "no byte of the second request was sent"


def test_a_connection_with_a_partially_sent_request_is_not_reused() -> None:
    connections = 0
    size = 8 * 1024 * 1024

    async def early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        head = await reader.readuntil(b"\r\n\r\n")
        if b"r1" in head:
            writer.write(
                b"HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            await asyncio.sleep(1)  # without reading the rest of the request
        else:
            writer.write(COMPLETE_RESPONSE.replace(b"r1", b"r2"))

    async def twice() -> Any:  # noqa: ANN401
        server = await asyncio.start_server(early, "127.0.0.1", 0)
        client = SidecarClient(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", ConnectionState(2))
        first = asyncio.ensure_future(send(client, "r1", bytes(size)))
        await asyncio.sleep(0.1)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        second = await read_complete(await send(client, "r2"))
        await client.close()
        server.close()
        return second

    assert uvloop.run(twice()) == b"ok"
    assert connections == 2


def test_headers_that_the_connection_header_lists_are_not_forwarded() -> None:
    headers: Headers = [(b"connection", b"keep-alive, X-Hop, Model"), (b"x-hop", b"1"), (b"model", b"m")]
    assert b"x-hop" in hop_by_hop(headers)
    assert b"model" not in hop_by_hop(headers), "the client's header is forwarded to the sidecar"
