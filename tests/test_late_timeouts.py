"""Parties that fall silent late and come whole again: the process goes on, and serves somebody afterwards.

The silence is a stand-in's that answers nothing until it is told; its end is seen by the process's events.
"""

import asyncio
import copy
import os
import socket
from pathlib import Path

import pytest

from tests.parties import FarmAgent
from tests.rig import SETTINGS, Sidecar
from tests.street import Street, live_in
from tests.test_crossings import PING
from tests.test_program import ask_one, ident

READY, NOT_READY = b'{"condition":"Ready"}', b'{"condition":"NotReady"}'


def impatient() -> dict:
    """A silence of the farm agent is seen after a second and a half; callers wait no longer than three."""
    settings = copy.deepcopy(SETTINGS)
    for lane in settings["lanes"]:
        lane |= {"promise": 1500.0, "deadline": 3000.0}
    return settings


class Listing(Street):
    """Its control plane keeps a list; it falls silent in one of the ways a far side can, and comes back."""

    def __init__(self, *given: object) -> None:
        super().__init__(*given)
        self.silent = ""
        self.control.usual = self.said
        self.counted: list[bytes] = []  # the words that came whole and were answered 204

    def said(self, head: str, body: bytes) -> bytes | str:
        if self.silent:
            return b"HTTP/1.1 204 S" if self.silent == "half an answer" else "hang"
        assert head.startswith("PUT /v2/endpoints/n1 HTTP/1.1\r\n")
        self.counted.append(body)
        return b"HTTP/1.1 204 So\r\n\r\n"

    async def fall_silent(self, how: str) -> None:
        self.silent = how
        if how in ("takes nobody", "refuses"):
            server = self.servers[2]
            self.place = server.sockets[0].getsockname()
            server.close()
            self.control.cut()
        if how == "takes nobody":  # who connects lies in the system's line, unread, and it gets full
            self.wall = socket.create_server(self.place, backlog=1)

    async def come_whole(self) -> None:
        how, self.silent = self.silent, ""
        if how == "takes nobody":
            self.wall.close()
        if how in ("takes nobody", "refuses"):
            self.servers[2] = await asyncio.start_server(self.control.serve, *self.place)


SILENCES = ["no answer", "half an answer", "takes nobody", "refuses"]


@pytest.mark.parametrize("how", SILENCES)
def test_a_list_that_falls_silent_late_keeps_nobody_from_service_and_comes_back_whole(
    tmp_path: Path, how: str
) -> None:
    """Guards against a process that serves nobody: one that gave up reporting, or service with it."""

    async def scene(street: Listing) -> None:
        await street.event("ready")
        await street.until(lambda: len(street.counted) >= 3)  # late: it has counted for a while
        await street.fall_silent(how)
        await street.event("control_lost")  # for longer than an entry stands
        for n in range(10):
            assert (await ask_one(street, n, "look"))[0] == 200
        counted = len(street.counted)
        await street.come_whole()
        await street.event("control_back")
        assert street.counted[counted:] and set(street.counted[counted:]) == {READY}
        # The list is whole again, and everybody comes at once.
        answers = await asyncio.gather(*(ask_one(street, 100 + n, "look") for n in range(60)))
        assert {status for status, _, _ in answers} <= {200, 503}
        await serves_again(street)
        assert (await (await Sidecar(street).open()).ask(PING))[0] == 200
        assert len(os.listdir(f"/proc/{street.process.pid}/fd")) < 200
        street.signal()
        await street.ended()
        assert street.counted[-1] == NOT_READY
        street.accounted()

    live_in(Listing(tmp_path), scene)


@pytest.mark.parametrize("how", SILENCES)
def test_a_list_that_is_silent_at_the_notice_hears_it_once_it_is_back(tmp_path: Path, how: str) -> None:
    """Guards against a word of the silence that is told after it: Ready, from a process that leaves."""

    async def scene(street: Listing) -> None:
        await street.event("ready")
        await street.until(lambda: len(street.counted) >= 2)
        await street.fall_silent(how)
        street.farm.hold = True
        runs = asyncio.create_task(ask_one(street, 1))
        await street.until(lambda: ident(1) in street.farm.running)
        street.signal()
        await street.event("leaving")
        await street.event("unready")
        counted = len(street.counted)
        await street.come_whole()
        await street.until(lambda: len(street.counted) > counted)
        street.farm.go_on(ident(1))
        assert (await runs)[0] == 200
        await street.ended()
        assert set(street.counted[counted:]) == {NOT_READY}
        street.accounted()

    live_in(Listing(tmp_path, SETTINGS, 20000), scene)


class Sleepy(FarmAgent):
    """Does nothing of what comes while it sleeps, and all of it in order when it wakes, as a stopped process.
    What connects while `forgets` is set is never heard, though it stays open."""

    def __init__(self) -> None:
        super().__init__()
        self.awake, self.forgets = asyncio.Event(), False
        self.awake.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.forgets:
            self.links += 1
            while await reader.read(4096):
                pass
            writer.close()
            return
        readline = reader.readline

        async def held() -> bytes:
            line = await readline()
            await self.awake.wait()
            return line

        reader.readline = held
        await super().serve(reader, writer)


@pytest.mark.parametrize("how", ["silent", "cut, and greeted late", "cut, and never greeted"])
def test_a_farm_agent_that_falls_silent_late_costs_no_answer_and_is_served_with_again(
    tmp_path: Path, how: str
) -> None:
    """Guards against requests left without an answer, and against a process that waits for good for one
    greeting while another link would be greeted: it would serve nobody."""

    async def scene(street: Street) -> None:
        await street.event("ready")
        assert (await ask_one(street, 1, "look", left=2500))[0] == 200
        farm = street.farm
        farm.awake.clear()
        farm.forgets = "never" in how
        if "cut" in how:
            farm.cut()
        kinds = {n: "pay" if n % 2 else "book" for n in range(10, 30)}
        asked = (ask_one(street, n, kind, left=2500) for n, kind in kinds.items())
        for status, _, _ in await asyncio.gather(*asked):
            assert status in (500, 503), "it ran nowhere"
        await street.until(lambda: farm.links > 1)
        farm.forgets = False
        farm.awake.set()
        await serves_again(street)
        await street.until(lambda: not farm.running)
        assert all(farm.begun[one] == 1 for one in farm.pays), "no effect twice"
        street.signal()
        await street.ended()
        street.accounted()

    street = Street(tmp_path, impatient())
    street.farm = Sleepy()
    live_in(street, scene)


async def serves_again(street: Street) -> None:
    """Ten in a row are served: it is no accident, and nothing of the silence is left."""
    served, n = 0, 500
    async with asyncio.timeout(20):
        while served < 10:
            served, n = served + 1 if (await ask_one(street, n, "look", left=2500))[0] == 200 else 0, n + 1
