"""The terms that the standing page renewed, forced against the real command (docs/standing.md names each).

A reload that meets the drain, a list or a farm agent that falls silent late and comes whole, a kill right
after an accept, requests in pieces. What has to cross is held by a pipe that the process reads, by SIGSTOP or
by a stand-in that is silent until it is told; no test waits in the hope of a moment.
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


async def has_read(street: Street) -> None:
    """All that was written before this has been accepted and read: a whole exchange came behind it, twice."""
    for _ in range(2):
        assert (await (await Sidecar(street).open()).ask(PING))[0] in (200, 503)


async def proven(street: Street) -> socket.socket:
    side = plain(street.address)
    await asyncio.get_running_loop().sock_sendall(side, PING)
    assert (await asyncio.get_running_loop().sock_recv(side, 4096)).startswith(b"HTTP/1.1 200")
    return side


def whole(answer: bytes) -> tuple[int, bytes]:
    """Status and body of the one answer that this is, to its last byte."""
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 "), answer
    size = int(head.lower().partition(b"content-length:")[2].split()[0])
    assert len(body) == size, f"cut off, or more than one answer: {answer!r}"
    return int(head.split()[1]), body


# A reload followed by a drain


class Moving(Street):
    """All parties open again elsewhere; the new control plane and back end are others than the old."""

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


async def read_while_the_drain_begins(street: Moving) -> None:
    """The notice comes while the process stands in the reading of the new file."""
    street.path.unlink()
    os.mkfifo(street.path)
    street.signal(SIGHUP)
    pipe = await asyncio.to_thread(os.open, street.path, os.O_WRONLY)  # returns once it has begun to read
    street.signal(SIGTERM)
    os.write(pipe, street.next)
    street.path.unlink()
    os.close(pipe)


async def both_at_once(street: Moving) -> None:
    street.path.write_bytes(street.next)
    await street.stand_still()
    street.signal(SIGHUP)
    street.signal(SIGTERM)
    street.signal(SIGCONT)


async def in_the_drain(street: Moving) -> None:
    street.signal(SIGTERM)
    await street.event("leaving")
    street.path.write_bytes(street.next)
    street.signal(SIGHUP)


async def half_a_file_that_is_whole_in_the_drain(street: Moving) -> None:
    street.path.write_bytes(street.next[:-30])
    street.signal(SIGHUP)
    await street.event("not_reloaded")
    street.signal(SIGTERM)
    await street.event("leaving")
    street.path.write_bytes(street.next)


@pytest.mark.parametrize(
    "crossing",
    [read_while_the_drain_begins, both_at_once, in_the_drain, half_a_file_that_is_whole_in_the_drain],
)
def test_new_addresses_that_meet_the_drain_are_followed_and_nothing_had_is_lost(
    tmp_path: Path, crossing: Callable
) -> None:
    """Guards against a drain that speaks to the old control plane, or leaves runs with the old farm agent."""

    async def scene(street: Moving) -> None:
        await street.event("ready")
        await street.until(lambda: street.control.heard)
        street.farm.hold = True
        street.below.usual = lambda head, body: "hang"
        runs = asyncio.create_task(ask_one(street, 1))
        calls = asyncio.create_task(ask_one(street, 2, "look"))
        await street.until(lambda: {ident(1), ident(2)} <= set(street.farm.running))
        street.farm.go_on(ident(2))
        await street.until(lambda: street.below.heard)  # a call is out at the old address
        await street.move()
        await crossing(street)

        line = await street.event("reloaded")
        assert set(line["changed"]) == {"agent", "below", "control", "stop"} and not line["cannot_change"]
        notice = (await street.event("leaving"))["at"] // 1000
        await street.until(lambda: street.farm.links == 2)
        await street.until(lambda: street.control.heard and street.control.heard[-1][1] == NOT_READY)
        # One that came within the grace runs over the new link, and calls at the new address.
        late = asyncio.create_task(ask_one(street, 3, "look", X_Ingress_Time=str(notice)))
        await street.until(lambda: ident(3) in street.farm.running)
        street.farm.go_on(ident(3))
        status, head, _ = await late
        assert status == 200 and "Connection: close" in head
        assert street.farm.replies[ident(3)] == b"moved" and len(street.below.heard) == 1
        # One that came after it never runs.
        after = round(notice + GRACE_MS + 60)
        await street.until(lambda: time.time() * 1000 > after)  # a stamp ahead of its clock counts as now
        status, head, _ = await ask_one(street, 4, X_Ingress_Time=str(after))
        assert status == 503 and "Connection: close" in head
        # The call that was out ends where it is, and its run over the new link.
        (writer,) = street.old_below.open
        writer.write(reply(200, b"the old one's"))
        assert (await calls)[0] == 200 and street.farm.replies[ident(2)] == b"the old one's"
        street.farm.go_on(ident(1))
        assert (await runs)[0] == 200
        await street.ended()
        assert street.farm.begun == {ident(1): 1, ident(2): 1, ident(3): 1}
        words = [body for _, body in street.control.heard]
        assert words[-1] == NOT_READY and READY not in words[1:], "Ready only before the notice"
        street.accounted()

    live_in(Moving(tmp_path, stop=20000), scene)


@pytest.mark.parametrize("wrong", ["half", "another's"])
def test_a_file_that_cannot_be_followed_as_the_drain_begins_changes_nothing(
    tmp_path: Path, wrong: str
) -> None:
    """Guards against an end that waits for a whole file, and against following another backend out."""

    async def scene(street: Moving) -> None:
        await street.event("ready")
        street.farm.hold = True
        runs = asyncio.create_task(ask_one(street, 1))
        await street.until(lambda: ident(1) in street.farm.running)
        await street.move()
        other = json.dumps(json.loads(street.next) | {"name": "n2"}).encode()
        street.next = street.next[:-30] if wrong == "half" else other
        await read_while_the_drain_begins(street)
        street.path.write_bytes(street.next)  # for as long as it is tried again
        await street.event("not_reloaded")
        await street.event("leaving")
        await street.until(lambda: street.old_control.heard[-1][1] == NOT_READY)
        street.farm.go_on(ident(1))
        assert (await runs)[0] == 200
        await street.ended()
        assert not street.control.heard and street.farm.links == 1
        assert not any(line["event"] == "reloaded" for line in street.lines)
        street.accounted()

    live_in(Moving(tmp_path, stop=20000), scene)


# Kills and notices right after an accept


def test_a_kill_right_after_an_accept_is_a_reset_and_the_next_life_runs_each_once(tmp_path: Path) -> None:
    """Proven resets: what the killed life had not read ran nowhere, and the next one runs each once."""

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
        await has_read(street)
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
        # The next life numbers notices anew, and is asked the same again.
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
def test_a_notice_right_after_an_accept_costs_no_request(tmp_path: Path, place: str) -> None:
    """The request and the notice lie there together as the process goes on; ten callers in each place."""

    async def scene(street: Street) -> None:
        await street.event("ready")
        requests = {ident(n): Sidecar.ticket(ident(n)) for n in range(10)}
        sides = {} if place == "in the line" else {n: plain(street.address) for n in requests}
        if place == "half read":
            for n, side in sides.items():
                side.send(requests[n][:90])
        if place == "rests":
            sides = {n: await proven(street) for n in requests}
        await has_read(street)
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
            status, body = whole(answer)
            assert status == 200 and body == street.farm.result(n), "it came within the grace"
            assert b"Connection: close" in answer
        await street.ended()
        assert street.farm.begun == dict.fromkeys(requests, 1)
        street.accounted()

    live_in(Street(tmp_path, stop=20000), scene)


# Requests that come in pieces


def test_a_request_in_two_pieces_cut_at_any_byte_is_one_request(tmp_path: Path) -> None:
    """The first piece has been read alone, whatever byte it ends with; also across the notice to leave."""

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
            await has_read(street)
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
