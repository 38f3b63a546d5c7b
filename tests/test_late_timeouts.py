"""Time-outs of the control plane and the worker agent after a normal start; the process serves again.

A stub stops answering until the test ends the outage; the process's events show when it has recovered.
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


def short_deadlines() -> dict:
    """Settings with a time-out of 1.5 s for the worker agent and a deadline of 3 s for requests."""
    settings = copy.deepcopy(SETTINGS)
    for lane in settings["lanes"]:
        lane |= {"promise": 1500.0, "deadline": 3000.0}
    return settings


class ControlPlaneOutage(Street):
    """A test bed whose control plane fails in one of several ways and recovers."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self.failure = ""
        self.control.usual = self.reply
        self.accepted: list[bytes] = []  # the reports that arrived completely and were answered 204

    def reply(self, head: str, body: bytes) -> bytes | str:
        if self.failure:
            return b"HTTP/1.1 204 S" if self.failure == "partial answer" else "hang"
        assert head.startswith("PUT /v2/endpoints/n1 HTTP/1.1\r\n")
        self.accepted.append(body)
        return b"HTTP/1.1 204 So\r\n\r\n"

    async def fail(self, failure: str) -> None:
        self.failure = failure
        if failure in ("accepts nobody", "refuses"):
            server = self.servers[2]
            self.control_address = server.sockets[0].getsockname()
            server.close()
            self.control.cut()
        if failure == "accepts nobody":  # connections stay in the kernel's backlog, which fills up
            self.full_listener = socket.create_server(self.control_address, backlog=1)

    async def recover(self) -> None:
        failure, self.failure = self.failure, ""
        if failure == "accepts nobody":
            self.full_listener.close()
        if failure in ("accepts nobody", "refuses"):
            self.servers[2] = await asyncio.start_server(self.control.serve, *self.control_address)


FAILURES = ["no answer", "partial answer", "accepts nobody", "refuses"]


@pytest.mark.parametrize("failure", FAILURES)
def test_a_list_that_falls_silent_late_keeps_nobody_from_service_and_comes_back_whole(
    tmp_path: Path, failure: str
) -> None:
    """A process must not stop reporting, or stop serving with it, when the control plane does not answer."""

    async def scene(street: ControlPlaneOutage) -> None:
        await street.event("ready")
        await street.until(lambda: len(street.accepted) >= 3)  # it has been listed for a while
        await street.fail(failure)
        await street.event("control_lost")  # the outage outlasts the entry in the list
        for n in range(10):
            assert (await ask_one(street, n, "look"))[0] == 200
        accepted = len(street.accepted)
        await street.recover()
        await street.event("control_back")
        assert street.accepted[accepted:] and set(street.accepted[accepted:]) == {READY}
        # The backend is listed again, and all callers come at once.
        answers = await asyncio.gather(*(ask_one(street, 100 + n, "look") for n in range(60)))
        assert {status for status, _, _ in answers} <= {200, 503}
        await serves_again(street)
        assert (await (await Sidecar(street).open()).ask(PING))[0] == 200
        assert len(os.listdir(f"/proc/{street.process.pid}/fd")) < 200
        street.signal()
        await street.ended()
        assert street.accepted[-1] == NOT_READY
        street.accounted()

    live_in(ControlPlaneOutage(tmp_path), scene)


@pytest.mark.parametrize("failure", FAILURES)
def test_a_list_that_is_silent_at_the_notice_hears_it_once_it_is_back(tmp_path: Path, failure: str) -> None:
    """A report from before the outage, Ready, must not be sent after it by a process that is draining."""

    async def scene(street: ControlPlaneOutage) -> None:
        await street.event("ready")
        await street.until(lambda: len(street.accepted) >= 2)
        await street.fail(failure)
        street.farm.hold = True
        runs = asyncio.create_task(ask_one(street, 1))
        await street.until(lambda: ident(1) in street.farm.running)
        street.signal()
        await street.event("leaving")
        await street.event("unready")
        accepted = len(street.accepted)
        await street.recover()
        await street.until(lambda: len(street.accepted) > accepted)
        street.farm.go_on(ident(1))
        assert (await runs)[0] == 200
        await street.ended()
        assert set(street.accepted[accepted:]) == {NOT_READY}
        street.accounted()

    live_in(ControlPlaneOutage(tmp_path, SETTINGS, 20000), scene)


class PausedAgent(FarmAgent):
    """Handles nothing while paused, and everything in order when resumed, like a stopped process.
    Connections made while `ignores_connections` is set stay open but are never answered."""

    def __init__(self) -> None:
        super().__init__()
        self.resumed, self.ignores_connections = asyncio.Event(), False
        self.resumed.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.ignores_connections:
            self.links += 1
            while await reader.read(4096):
                pass
            writer.close()
            return
        readline = reader.readline

        async def read_when_resumed() -> bytes:
            line = await readline()
            await self.resumed.wait()
            return line

        reader.readline = read_when_resumed
        await super().serve(reader, writer)


@pytest.mark.parametrize("failure", ["silent", "closed, greeted late", "closed, never greeted"])
def test_a_farm_agent_that_falls_silent_late_costs_no_answer_and_is_served_with_again(
    tmp_path: Path, failure: str
) -> None:
    """No request may stay unanswered. The process must not wait forever for a greeting on one connection
    while another connection would be greeted: it would serve nobody."""

    async def scene(street: Street) -> None:
        await street.event("ready")
        assert (await ask_one(street, 1, "look", left=2500))[0] == 200
        farm = street.farm
        farm.resumed.clear()
        farm.ignores_connections = "never" in failure
        if "closed" in failure:
            farm.cut()
        kinds = {n: "pay" if n % 2 else "book" for n in range(10, 30)}
        asked = (ask_one(street, n, kind, left=2500) for n, kind in kinds.items())
        for status, _, _ in await asyncio.gather(*asked):
            assert status in (500, 503), "it did not run"
        await street.until(lambda: farm.links > 1)
        farm.ignores_connections = False
        farm.resumed.set()
        await serves_again(street)
        await street.until(lambda: not farm.running)
        assert all(farm.begun[one] == 1 for one in farm.pays), "no run twice"
        street.signal()
        await street.ended()
        street.accounted()

    street = Street(tmp_path, short_deadlines())
    street.farm = PausedAgent()
    live_in(street, scene)


async def serves_again(street: Street) -> None:
    """Waits until ten requests in a row are served, so that nothing of the outage is left."""
    in_a_row, n = 0, 500
    async with asyncio.timeout(20):
        while in_a_row < 10:
            in_a_row, n = (
                in_a_row + 1 if (await ask_one(street, n, "look", left=2500))[0] == 200 else 0,
                n + 1,
            )
