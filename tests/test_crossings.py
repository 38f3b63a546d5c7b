"""Events that cross on a connection, such as a request and a close; each is forced on a real socket.

The cases are listed in docs/crossings.md.
"""

import asyncio
import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from crowwing.transport.connection import Connection
from tests.rig import Sidecar, Town, play_in
from tests.street import Street, live_in
from tests.test_program import ask_one, ident

PING = b"GET /ping HTTP/1.1\r\nHost: s\r\n\r\n"
SMALL = 2304  # the smallest receive buffer, so a response of 8 kB stays in the sender's buffer


def plain(address: tuple, room: int = 0) -> socket.socket:
    side = socket.socket()
    if room:
        side.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
    side.connect(address)
    side.setblocking(False)
    return side


async def rest_of(side: socket.socket) -> bytes:
    """All data until the peer closes; a reset fails the test."""
    loop, data = asyncio.get_running_loop(), b""
    async with asyncio.timeout(30):
        while part := await loop.sock_recv(side, 4096):
            data += part
    return data


async def proven(town: Town) -> tuple[socket.socket, Connection]:
    """An idle connection that has carried a health check."""
    before = set(town.backend.listener.connections)
    side = plain(town.address)
    await asyncio.get_running_loop().sock_sendall(side, PING)
    assert (await asyncio.get_running_loop().sock_recv(side, 4096)).startswith(b"HTTP/1.1 200")
    (connection,) = set(town.backend.listener.connections) - before
    return side, connection


class HookedLoop:
    """An event loop that calls a hook right after each read of a connection."""

    def __init__(self, loop: asyncio.AbstractEventLoop, then: Callable[[], None]) -> None:
        self.loop, self.then, self.create_task, self.call_later = (
            loop,
            then,
            loop.create_task,
            loop.call_later,
        )
        self.time, self.sock_sendall = loop.time, loop.sock_sendall

    async def sock_recv_into(self, sock: socket.socket, buffer: bytearray) -> int:
        size = await self.loop.sock_recv_into(sock, buffer)
        self.then()
        return size


def test_a_close_between_a_read_and_its_processing_loses_no_request() -> None:
    async def scene(town: Town) -> None:
        side, connection = await proven(town)
        # The pending read uses the real loop; the next one closes the connection as soon as it has data.
        connection.loop = HookedLoop(town.backend.loop, connection.close)
        side.send(Sidecar.ticket(ident(1)))
        answer = await asyncio.get_running_loop().sock_recv(side, 8192)
        assert answer.startswith(b"HTTP/1.1 200")
        side.send(Sidecar.ticket(ident(2)))
        answer = await rest_of(side)
        assert answer.startswith(b"HTTP/1.1 200") and b"Connection: close" in answer
        town.check()

    play_in(Town(), scene)


def test_a_request_unread_when_its_connection_is_closed_is_answered() -> None:
    async def scene(town: Town) -> None:
        side, connection = await proven(town)
        side.send(Sidecar.ticket(ident(1)))
        connection.close()
        assert not connection.shut, "shut down before the response was sent"
        answer = await rest_of(side)
        assert answer.startswith(b"HTTP/1.1 200") and b"Connection: close" in answer
        town.check()

    play_in(Town(), scene)


def test_a_request_after_our_shutdown_is_neither_run_nor_reset_at_once() -> None:
    async def scene(town: Town) -> None:
        side, connection = await proven(town)
        connection.close()
        assert connection.shut and await rest_of(side) == b""
        side.send(Sidecar.ticket(ident(1)))
        await town.until(lambda: connection not in town.backend.listener.connections)
        assert side.recv(1) == b"", "unread bytes at the final close reset it"
        assert not town.farm.begun and not town.counts["had"]
        town.check()

    play_in(Town(), scene)


def test_an_incomplete_request_when_its_connection_is_closed_is_answered() -> None:
    async def scene(town: Town) -> None:
        side, connection = await proven(town)
        side.send(Sidecar.ticket(ident(1))[:40])
        await town.until(lambda: connection.began > 0)
        connection.close()
        assert (await rest_of(side)).startswith(b"HTTP/1.1 400") and not town.counts["had"]
        town.check()

    play_in(Town(), scene)


def test_an_incomplete_request_when_the_drain_begins_may_be_completed_and_is_answered() -> None:
    async def scene(town: Town) -> None:
        side, connection = await proven(town)
        whole = Sidecar.ticket(ident(1))
        side.send(whole[:60])
        await town.until(lambda: connection.began > 0)
        town.backend.leave()
        side.send(whole[60:])
        answer = await rest_of(side)
        assert answer.startswith(b"HTTP/1.1 200") and b"Connection: close" in answer
        await town.life
        town.check()

    play_in(Town(stop=20000), scene)


def test_bytes_after_our_shutdown_destroy_no_response_that_is_read_late() -> None:
    """A fully closed socket answers data with a reset, which discards what is queued."""

    async def scene(town: Town) -> None:
        side = plain(town.address, SMALL)
        town.backend.front.draining = True
        await asyncio.get_running_loop().sock_sendall(side, Sidecar.ticket(ident(1), body=bytes(2048)))
        await town.until(lambda: any(c.shut for c in town.backend.listener.connections))
        (connection,) = town.backend.listener.connections
        side.send(b"half a li")
        await town.until(lambda: connection not in town.backend.listener.connections)
        answer = await rest_of(side)
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(town.farm.result(ident(1)))
        assert len(answer) > 2 * SMALL

    play_in(Town(), scene)


def test_a_client_in_the_backlog_when_the_listener_closes_is_answered() -> None:
    async def scene(town: Town) -> None:
        listener = town.backend.listener
        town.backend.background_tasks[0].cancel()  # stops accepting
        await asyncio.wait([town.backend.background_tasks[0]])
        sides = [plain(town.address) for _ in range(20)]
        for n, side in enumerate(sides):
            side.send(Sidecar.ticket(ident(n)))
        listener.close()
        for n, side in enumerate(sides):
            answer = await asyncio.get_running_loop().sock_recv(side, 8192)
            assert answer.startswith(b"HTTP/1.1 200") and town.farm.begun[ident(n)] == 1
        with pytest.raises(ConnectionRefusedError):
            plain(town.address)
        town.check()

    play_in(Town(), scene)


def test_a_client_that_connects_while_accepting_is_cancelled_is_answered() -> None:
    async def scene(town: Town) -> None:
        listener, (accepting, *_) = town.backend.listener, town.backend.background_tasks
        await town.until(lambda: listener.pending_accept is not None and not listener.pending_accept.done())
        listener.pending_accept.add_done_callback(lambda _: accepting.cancel())
        side = plain(town.address)
        side.send(Sidecar.ticket(ident(1)))
        await asyncio.wait([accepting])
        assert accepting.cancelled()
        listener.close()
        assert (await asyncio.get_running_loop().sock_recv(side, 8192)).startswith(b"HTTP/1.1 200")
        town.check()

    play_in(Town(), scene)


def test_a_request_read_in_the_final_shutdown_is_rejected_and_never_runs() -> None:
    async def scene(town: Town) -> None:
        side, connection = await proven(town)
        fresh = plain(town.address)
        await town.until(lambda: len(town.backend.listener.connections) == 2)
        town.backend.front.ending = town.backend.front.draining = True
        for n, one in enumerate((side, fresh)):
            one.send(Sidecar.ticket(ident(n)))
        for connection in list(town.backend.listener.connections):
            connection.end()
        for one in (side, fresh):
            answer = await rest_of(one)
            assert answer.startswith(b"HTTP/1.1 503") and b"Connection: close" in answer
        assert not town.farm.begun and not town.counts["had"]

    play_in(Town(), scene)


def test_unread_bytes_at_the_final_close_destroy_no_response(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(town: Town) -> None:
        monkeypatch.setattr("crowwing.transport.connection.MAX_DISCARDED_BYTES", 1)
        town.farm.hold = True
        side = plain(town.address, SMALL)
        side.send(Sidecar.ticket(ident(1), body=bytes(2048)))
        await town.until(lambda: ident(1) in town.farm.running)
        (connection,) = town.backend.listener.connections
        assert side.send(bytes(40_000)) == 40_000  # more than three reads, after which nothing more is read
        await town.until(lambda: connection.done is not None)
        town.farm.go_on(ident(1))
        await town.until(lambda: connection not in town.backend.listener.connections)
        assert town.farm.result(ident(1)) in await rest_of(side)

    play_in(Town(), scene)


def test_a_client_that_half_closes_after_its_request_still_gets_the_response() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        side = plain(town.address)
        side.send(Sidecar.ticket(ident(1)))
        side.shutdown(socket.SHUT_WR)
        await town.until(lambda: ident(1) in town.farm.running)
        await town.until(lambda: all(c.done is not None for c in town.backend.listener.connections))
        town.farm.go_on(ident(1))
        assert (await rest_of(side)).endswith(town.farm.result(ident(1)))
        town.check()

    play_in(Town(), scene)


def test_an_attempt_resent_after_a_crossed_close_runs_once() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        side = plain(town.address)
        side.send(Sidecar.ticket(ident(1)))
        await town.until(lambda: ident(1) in town.farm.running)
        again = asyncio.create_task(ask_one(town, 1))
        await town.until(lambda: town.counts["joined"] == 1)
        town.farm.go_on(ident(1))
        assert (await again)[0] == 200
        assert (await asyncio.get_running_loop().sock_recv(side, 8192)).startswith(b"HTTP/1.1 200")
        town.check()

    play_in(Town(), scene)


def test_the_process_end_waits_for_a_response_still_queued(monkeypatch: pytest.MonkeyPatch) -> None:
    # seconds: longer than any stall of the test machine
    monkeypatch.setattr("crowwing.program.backend.CLOSE_BEFORE_END", 11.0)

    async def scene(town: Town) -> None:
        town.farm.hold = True
        side = plain(town.address, SMALL)
        side.send(Sidecar.ticket(ident(1), body=bytes(2048)))
        await town.until(lambda: ident(1) in town.farm.running)
        (connection,) = town.backend.listener.connections
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL)
        town.backend.leave()
        town.farm.go_on(ident(1))
        await town.until(lambda: connection.sender is not None)
        await town.until(lambda: town.backend.listener.sock is None)
        for _ in range(20):
            assert not town.backend.front.ending, "it ends with a response still queued"
            await asyncio.sleep(0)
        assert town.farm.result(ident(1)) in await rest_of(side)
        await town.life

    play_in(Town(stop=12000), scene)


@pytest.mark.parametrize("slow", [False, True])
def test_a_response_reaches_its_client_after_the_process_has_ended(tmp_path: Path, slow: bool) -> None:
    """The response is in the kernel's buffers; data that its client sends meanwhile must not cause a reset
    when the process ends."""

    async def scene(street: Street) -> None:
        await street.event("ready")
        side = plain(street.address, SMALL)
        street.farm.hold = True
        await asyncio.get_running_loop().sock_sendall(side, Sidecar.ticket(ident(1), body=bytes(2048)))
        await street.until(lambda: ident(1) in street.farm.running)
        street.signal()
        await street.event("leaving")
        if slow:
            side.send(b"POST /call/bo")  # part of a line after the request
        street.farm.go_on(ident(1))
        await street.ended()
        answer = await rest_of(side)
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(street.farm.result(ident(1)))

    live_in(Street(tmp_path, stop=1200), scene)
