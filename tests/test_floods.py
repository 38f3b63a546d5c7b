"""Floods and very slow clients: others are served, and memory and descriptors stay bounded."""

import asyncio
import os
import re
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.rig import SETTINGS, Sidecar
from tests.street import WAIT, Street, live_in
from tests.test_program import ask_one, ident

SOCKETS = 128
MAX_RESIDENT_KB = 48_000  # 20,000 kB when idle
MAX_RESPONSE_S = 1.0  # seconds for a response during a flood, on a shared machine


async def connect(street: Street) -> socket.socket:
    side = socket.socket()
    side.setblocking(False)
    await asyncio.get_running_loop().sock_connect(side, street.address)
    return side


async def write(side: socket.socket, data: bytes) -> None:
    try:
        async with asyncio.timeout(WAIT):
            await asyncio.get_running_loop().sock_sendall(side, data)
    except OSError:
        pass  # the backend may close it


async def closed_silent_connection(street: Street) -> None:
    (await connect(street)).close()


async def open_silent_connection(street: Street) -> socket.socket:
    return await connect(street)


async def random_bytes(street: Street) -> socket.socket:
    side = await connect(street)
    await write(side, os.urandom(200_000))
    return side


async def endless_header(street: Street) -> socket.socket:
    side = await connect(street)
    await write(side, b"POST /call/book HTTP/1.1\r\n" + b"X-More: x\r\n" * 40_000)
    return side


async def pipelined(street: Street) -> socket.socket:
    side = await connect(street)
    await write(side, b"GET /ping HTTP/1.1\r\n\r\n" * 5_000)
    return side


async def a_byte_at_a_time(street: Street) -> socket.socket:
    side = await connect(street)

    async def trickle() -> None:
        for byte in Sidecar.ticket("e" * 16) * 3:
            await write(side, bytes([byte]))
            await asyncio.sleep(0.02)

    task = asyncio.create_task(trickle())
    TASKS.add(task)
    task.add_done_callback(TASKS.discard)
    return side


async def unread_response(street: Street) -> socket.socket:
    side = socket.socket()
    side.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2304)
    side.setblocking(False)
    await asyncio.get_running_loop().sock_connect(side, street.address)
    await write(side, b"GET /ping HTTP/1.1\r\n\r\n")
    return side


TASKS: set[asyncio.Task] = set()


def resident(pid: int) -> int:
    return int(re.search(r"VmRSS:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())[1])


@pytest.mark.parametrize(
    "flood",
    [
        closed_silent_connection,
        open_silent_connection,
        random_bytes,
        endless_header,
        pipelined,
        a_byte_at_a_time,
        unread_response,
    ],
)
def test_a_flood_delays_no_other_client_and_leaks_nothing(
    tmp_path: Path, flood: Callable[[Street], Awaitable]
) -> None:
    async def scene(street: Street) -> None:
        await street.event("ready")
        pid, loop, slowest = street.process.pid, asyncio.get_running_loop(), 0.0
        sides = []
        for n in range(8):
            sides += await asyncio.gather(*(flood(street) for _ in range(30)))
            for m in range(3):
                began = loop.time()
                assert (await ask_one(street, 100 * n + m, "look"))[0] == 200
                slowest = max(slowest, loop.time() - began)
            assert len(os.listdir(f"/proc/{pid}/fd")) <= SOCKETS
            assert resident(pid) < MAX_RESIDENT_KB
        assert slowest < MAX_RESPONSE_S
        for task in list(TASKS):
            task.cancel()
        for side in sides:
            if side is not None:
                side.close()
        await street.until(lambda: len(os.listdir(f"/proc/{pid}/fd")) < 30)
        street.signal()
        await street.ended()
        lags = [line["lag_ms"] for line in street.lines if line["event"] == "figures"]
        assert max(lags) < 1000 * MAX_RESPONSE_S

    limits = {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}
    live_in(Street(tmp_path, SETTINGS, 900, limits=limits), scene)


def test_a_slow_reader_and_a_slow_writer_get_their_responses(tmp_path: Path) -> None:
    """One byte at a time in both directions; slower clients run into the time-out for incomplete requests."""

    async def scene(street: Street) -> None:
        await street.event("ready")
        side, loop = await connect(street), asyncio.get_running_loop()
        for byte in Sidecar.ticket(ident(1)):
            await loop.sock_sendall(side, bytes([byte]))
        answer = b""
        while not (ident(1) in street.farm.bodies and answer.endswith(street.farm.result(ident(1)))):
            answer += await loop.sock_recv(side, 1)
        assert answer.startswith(b"HTTP/1.1 200")
        street.signal()
        await street.ended()

    live_in(Street(tmp_path, stop=900), scene)
