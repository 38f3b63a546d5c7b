"""Connections between backends, on loopback sockets."""

import asyncio
import contextlib
import logging
from typing import Any, cast

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st

from crowwing.tier.distribution.sampling import Peer
from crowwing.tier.wire.codec import decode, encode
from crowwing.tier.wire.connection import Connection
from crowwing.tier.wire.connection_pool import ConnectionPool
from crowwing.tier.wire.errors import CallError, MessageError
from crowwing.tier.wire.frames import LENGTH, decode_frame
from crowwing.tier.wire.server import serve

HOST = "127.0.0.1"
DEFECT = "a defect"
PEER = Peer("10.0.0.1", "front", "z1", 3)


async def echo(connection: Connection, body: Any) -> Any:  # noqa: ANN401
    if body == "fails":
        raise ValueError(DEFECT)
    if body == "ends":
        connection.close()
    return body


async def listening() -> tuple[asyncio.Server, int]:
    server = cast("asyncio.Server", await serve(HOST, 0, echo))
    return server, server.sockets[0].getsockname()[1]


def test_messages_come_back_as_they_were() -> None:
    value = ("a", 1, None, {"k": (PEER, b"bytes")}, (PEER,))
    assert decode(encode(value)) == value
    for spoiled in (b"", b"\xff", encode(PEER)[:-3], encode(PEER).replace(b"Peer", b"Pear")):
        with pytest.raises(MessageError):
            decode(spoiled)


def test_calls_get_responses_and_a_defect_closes_neither_side() -> None:
    async def play() -> None:
        server, port = await listening()
        connections = ConnectionPool(port)
        answers = await asyncio.gather(*(connections.call(HOST, number, 5.0) for number in range(50)))
        assert answers == list(range(50))
        with pytest.raises(CallError) as raised:
            await connections.call(HOST, "fails", 5.0)
        assert raised.value.sent and raised.value.reason == DEFECT
        assert await connections.call(HOST, PEER, 5.0) == PEER
        connections.close()
        server.close()

    uvloop.run(play())


def test_a_failed_call_states_whether_it_may_have_been_received() -> None:
    async def play() -> None:
        server, port = await listening()
        connections = ConnectionPool(port)
        with pytest.raises(CallError) as ended:
            await connections.call(HOST, "ends", 5.0)
        assert ended.value.sent
        server.close()
        await server.wait_closed()
        connections = ConnectionPool(port)
        with pytest.raises(CallError) as refused:
            await connections.call(HOST, "never", 5.0)
        assert not refused.value.sent

    uvloop.run(play())


def test_a_connection_that_the_loop_has_closed_accepts_messages_without_an_error() -> None:
    async def play() -> None:
        server, port = await listening()
        connections = ConnectionPool(port)
        connection = await connections.get(HOST)
        connection._writer.transport.abort()
        while not connection._writer.transport.is_closing():
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        connection.is_closed = False  # as it is until the reader task has noticed
        connection.notify(PEER)
        connection.notify(PEER)
        assert connection.is_closed
        with pytest.raises(CallError):
            await connection.call(PEER, 1.0)
        server.close()

    uvloop.run(play())


NO_FRAMES: list[Any] = [
    (), (0, 1), (0, 1, "body", 4), 7, None, "text", {"kind": 0}, (9, 1, "body"), (-1, 1, "body"),
    ("0", 1, "body"), (0, "1", "body"), (1, (1,), "body"), (1, {"a": 1}, "body"), (True, 1, "body"),
]  # fmt: skip


@pytest.mark.parametrize("content", NO_FRAMES, ids=repr)
def test_content_that_is_no_frame_ends_its_connection_in_order(
    content: Any,  # noqa: ANN401
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def play() -> None:
        server, port = await listening()
        connections = ConnectionPool(port)
        connection = await connections.get(HOST)
        call = asyncio.ensure_future(connection.call("echo", 5.0))
        encoded = encode(content)
        connection._writer.write(LENGTH.pack(len(encoded)) + encoded)
        with pytest.raises(CallError):  # the peer's end reaches this side at once
            await call
            await connection.call("after", 1.0)
        server.close()

    with caplog.at_level(logging.WARNING, "crowwing.wire"):
        uvloop.run(play())
    assert any(record.message.startswith("connection_broken") for record in caplog.records)


@given(st.binary(max_size=200))
def test_any_content_is_a_frame_or_a_message_error(content: bytes) -> None:
    with contextlib.suppress(MessageError):
        decode_frame(content)


DEEP_ARRAYS = b"\x81" * 100_000
DEEP_TAGS = b"\xd9\x9c\x40" * 50_000
INFINITE_TIME = b"\xc1\xfb\x7f\xf0" + b"\0" * 6


@pytest.mark.parametrize("nested", [DEEP_ARRAYS, DEEP_TAGS, INFINITE_TIME])
def test_content_that_is_nested_too_deeply_is_a_message_error(nested: bytes) -> None:
    with pytest.raises(MessageError):
        decode_frame(nested)
