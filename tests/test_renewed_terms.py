"""Races that docs/standing.md requires the backend to survive, forced against the real command.

A reload during the drain, a kill right after an accept, requests split into parts. Each order of events is
forced by a pipe that the process reads, by SIGSTOP, or by a stand-in that does not answer until told; no test
relies on timing.
"""

import asyncio
import json
import os
import socket
import time
from collections.abc import Callable
from pathlib import Path
from signal import SIGCONT, SIGHUP, SIGTERM

import pytest

from tests.parties import HttpStandIn, reply
from tests.rig import SETTINGS, Sidecar
from tests.street import Street, live_in
from tests.test_crossings import PING, plain, rest_of
from tests.test_program import ask_one, ident

READY, NOT_READY = b'{"condition":"Ready"}', b'{"condition":"NotReady"}'
GRACE_MS = SETTINGS["invariants"]["stop_sending_within"]


async def until_data_is_read(street: Street) -> None:
    """Waits until all data sent before has been accepted and read: two full exchanges follow it."""
    for _ in range(2):
        assert (await (await Sidecar(street).open()).ask(PING))[0] in (200, 503)


async def proven(street: Street) -> socket.socket:
    side = plain(street.address)
    await asyncio.get_running_loop().sock_sendall(side, PING)
    assert (await asyncio.get_running_loop().sock_recv(side, 4096)).startswith(b"HTTP/1.1 200")
    return side


def complete_response(answer: bytes) -> tuple[int, bytes]:
    """Status and body of data that is exactly one complete response."""
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 "), answer
    size = int(head.lower().partition(b"content-length:")[2].split()[0])
    assert len(body) == size, f"truncated, or more than one response: {answer!r}"
    return int(head.split()[1]), body


# A reload followed by a drain


class MovingStreet(Street):
    """All parties move to new addresses; the control plane and the downstream service are replaced."""

    async def move(self) -> None:
        self.before, self.servers = self.servers, []
        self.old_control, self.old_below = self.control, self.below
        self.control = HttpStandIn(self.old_control.usual)
        self.below = HttpStandIn(lambda head, body: reply(200, b"moved"))
        await self.open_parties()
        self.next = json.dumps(self.told | {"stop_ms": self.stop + 1000}).encode()

    async def __aexit__(self, *given: object) -> None:
        await super().__aexit__(*given)
        for server in self.before:
            server.close()
        for party in (self.old_control, self.old_below):
            party.cut()


async def drain_during_the_reload(street: MovingStreet) -> None:
    """The signal arrives while the process is blocked reading the new file."""
    street.path.unlink()
    os.mkfifo(street.path)
    street.signal(SIGHUP)
    pipe = await asyncio.to_thread(
        os.open, street.path, os.O_WRONLY
    )  # returns once the process has opened it
    street.signal(SIGTERM)
    os.write(pipe, street.next)
    street.path.unlink()
    os.close(pipe)


async def reload_and_drain_at_once(street: MovingStreet) -> None:
    street.path.write_bytes(street.next)
    await street.stand_still()
    street.signal(SIGHUP)
    street.signal(SIGTERM)
    street.signal(SIGCONT)


async def reload_during_the_drain(street: MovingStreet) -> None:
    street.signal(SIGTERM)
    await street.event("leaving")
    street.path.write_bytes(street.next)
    street.signal(SIGHUP)


async def incomplete_file_completed_during_the_drain(street: MovingStreet) -> None:
    street.path.write_bytes(street.next[:-30])
    street.signal(SIGHUP)
    await street.event("not_reloaded")
    street.signal(SIGTERM)
    await street.event("leaving")
    street.path.write_bytes(street.next)


@pytest.mark.parametrize(
    "crossing",
    [
        drain_during_the_reload,
        reload_and_drain_at_once,
        reload_during_the_drain,
        incomplete_file_completed_during_the_drain,
    ],
)
def test_address_changes_around_the_drain_are_applied_and_lose_no_request(
    tmp_path: Path, crossing: Callable
) -> None:
    """A drain must not report to the old control plane, nor leave runs with the old worker agent."""

    async def scene(street: MovingStreet) -> None:
        await street.event("ready")
        await street.until(lambda: street.control.heard)
        street.farm.hold = True
        street.below.usual = lambda head, body: "hang"
        runs = asyncio.create_task(ask_one(street, 1))
        calls = asyncio.create_task(ask_one(street, 2, "look"))
        await street.until(lambda: {ident(1), ident(2)} <= set(street.farm.running))
        street.farm.go_on(ident(2))
        await street.until(lambda: street.below.heard)  # a call to the old address is in progress
        await street.move()
        await crossing(street)

        line = await street.event("reloaded")
        assert set(line["changed"]) == {"agent", "below", "control", "stop"} and not line["cannot_change"]
        notice = (await street.event("leaving"))["at"] // 1000
        await street.until(lambda: street.farm.links == 2)
        await street.until(lambda: street.control.heard and street.control.heard[-1][1] == NOT_READY)
        # A request within the grace period runs over the new connection and calls the new address.
        late = asyncio.create_task(ask_one(street, 3, "look", X_Ingress_Time=str(notice)))
        await street.until(lambda: ident(3) in street.farm.running)
        street.farm.go_on(ident(3))
        status, head, _ = await late
        assert status == 200 and "Connection: close" in head
        assert street.farm.replies[ident(3)] == b"moved" and len(street.below.heard) == 1
        # A request after it never runs.
        after = round(notice + GRACE_MS + 60)
        await street.until(lambda: time.time() * 1000 > after)  # a timestamp ahead of its clock counts as now
        status, head, _ = await ask_one(street, 4, X_Ingress_Time=str(after))
        assert status == 503 and "Connection: close" in head
        # The pending call ends at the old address, and its run over the new connection.
        (writer,) = street.old_below.open
        writer.write(reply(200, b"the old one's"))
        assert (await calls)[0] == 200 and street.farm.replies[ident(2)] == b"the old one's"
        street.farm.go_on(ident(1))
        assert (await runs)[0] == 200
        await street.ended()
        assert street.farm.begun == {ident(1): 1, ident(2): 1, ident(3): 1}
        words = [body for _, body in street.control.heard]
        assert words[-1] == NOT_READY and READY not in words[1:], "reported Ready after the signal"
        street.accounted()

    live_in(MovingStreet(tmp_path, stop=20000), scene)


@pytest.mark.parametrize("wrong", ["half", "another's"])
def test_an_invalid_file_when_the_drain_begins_changes_nothing(tmp_path: Path, wrong: str) -> None:
    """The end must not wait for a valid file, nor may another backend's file be applied."""

    async def scene(street: MovingStreet) -> None:
        await street.event("ready")
        street.farm.hold = True
        runs = asyncio.create_task(ask_one(street, 1))
        await street.until(lambda: ident(1) in street.farm.running)
        await street.move()
        other = json.dumps(json.loads(street.next) | {"name": "n2"}).encode()
        street.next = street.next[:-30] if wrong == "half" else other
        await drain_during_the_reload(street)
        street.path.write_bytes(street.next)  # while the reload is being retried
        await street.event("not_reloaded")
        await street.event("leaving")
        await street.until(lambda: street.old_control.heard[-1][1] == NOT_READY)
        street.farm.go_on(ident(1))
        assert (await runs)[0] == 200
        await street.ended()
        assert not street.control.heard and street.farm.links == 1
        assert not any(line["event"] == "reloaded" for line in street.lines)
        street.accounted()

    live_in(MovingStreet(tmp_path, stop=20000), scene)


# Kills and drains right after an accept


def test_a_kill_after_an_accept_is_a_reset_and_the_next_incarnation_runs_each_once(tmp_path: Path) -> None:
    """Requests that the killed process had not read never ran; the next incarnation runs each once."""

    async def scene(street: Street) -> None:
        await street.event("ready")
        loop, sides = asyncio.get_running_loop(), {}
        street.farm.hold = True
        sides[1] = plain(street.address)  # its request runs
        sides[1].send(Sidecar.ticket(ident(1)))
        await street.until(lambda: ident(1) in street.farm.running)
        sides[2] = plain(street.address)  # accepted, nothing read
        sides[3] = plain(street.address)  # accepted, half a request read
        sides[3].send(Sidecar.ticket(ident(3))[:70])
        await until_data_is_read(street)
        await street.stand_still()
        sides[2].send(Sidecar.ticket(ident(2)))
        sides[3].send(Sidecar.ticket(ident(3))[70:])
        sides[4] = plain(street.address)  # not accepted yet
        sides[4].send(Sidecar.ticket(ident(4)))
        street.process.kill()
        async with asyncio.timeout(30):
            await street.process.wait()
            await street.reading
            for n, side in sides.items():
                try:
                    assert await loop.sock_recv(side, 4096) == b"" and n == 1, f"{n}: no reset and no answer"
                except ConnectionResetError:
                    pass
        assert street.farm.begun == {ident(1): 1}
        with pytest.raises(ConnectionRefusedError):
            plain(street.address)
        # The next incarnation numbers notices from the start, and gets the same requests.
        street.lines.clear()
        street.farm.notices.clear()
        street.process._transport.close()
        street.farm.hold = False
        await street.exec()
        await street.event("ready")
        answers = await asyncio.gather(*(ask_one(street, n) for n in (2, 3, 4)))
        assert [status for status, _, _ in answers] == [200] * 3
        assert street.farm.begun == {ident(n): 1 for n in (1, 2, 3, 4)}
        street.signal()
        await street.ended()
        street.accounted()

    live_in(Street(tmp_path, stop=900), scene)


@pytest.mark.parametrize("place", ["in the line", "accepted", "half read", "rests", "behind the notice"])
def test_sigterm_right_after_an_accept_loses_no_request(tmp_path: Path, place: str) -> None:
    """The request and the signal are both pending when the process continues; ten clients in each state."""

    async def scene(street: Street) -> None:
        await street.event("ready")
        requests = {ident(n): Sidecar.ticket(ident(n)) for n in range(10)}
        sides = {} if place == "in the line" else {n: plain(street.address) for n in requests}
        if place == "half read":
            for n, side in sides.items():
                side.send(requests[n][:90])
        if place == "rests":
            sides = {n: await proven(street) for n in requests}
        await until_data_is_read(street)
        if place == "behind the notice":
            street.signal()
            await street.event("leaving")
        await street.stand_still()
        if place == "in the line":
            sides = {n: plain(street.address) for n in requests}
        for n, side in sides.items():
            side.send(requests[n][90 if place == "half read" else 0 :])
        street.signal()
        street.signal(SIGCONT)
        for n, side in sides.items():
            answer = await rest_of(side)
            status, body = complete_response(answer)
            assert status == 200 and body == street.farm.result(n), "it arrived within the grace period"
            assert b"Connection: close" in answer
        await street.ended()
        assert street.farm.begun == dict.fromkeys(requests, 1)
        street.accounted()

    live_in(Street(tmp_path, stop=20000), scene)


# Requests split into parts


def test_a_request_in_two_parts_split_at_any_byte_is_one_request(tmp_path: Path) -> None:
    """The first part is read alone, whatever byte it ends with; also across the start of the drain."""

    async def scene(street: Street) -> None:
        await street.event("ready")
        size, step = len(Sidecar.ticket(ident(0), body=b"x\r\n\r\ny")), 25
        sides = [await Sidecar(street).open() for _ in range(step)]
        answered = 0
        for first in range(1, size, step):
            cuts = range(first, min(size, first + step))
            asked = [Sidecar.ticket(ident(cut), body=b"x\r\n\r\ny") for cut in cuts]
            for side, cut, data in zip(sides, cuts, asked, strict=False):
                side.writer.write(data[:cut])
            await until_data_is_read(street)
            if cuts[-1] == size - 1:
                street.signal()
                await street.event("leaving")
            for side, cut, data in zip(sides, cuts, asked, strict=False):
                side.writer.write(data[cut:])
            for side, cut, _ in zip(sides, cuts, asked, strict=False):
                status, head, body = await side.answer()
                assert status == 200 and body == street.farm.result(ident(cut)), cut
                assert ("Connection: close" in head) == (cuts[-1] == size - 1)
                answered += 1
        await street.ended()
        assert answered == size - 1 and set(street.farm.bodies.values()) == {b"x\r\n\r\ny"}
        assert street.farm.begun == {ident(cut): 1 for cut in range(1, size)}
        street.accounted()

    live_in(Street(tmp_path, stop=20000), scene)
