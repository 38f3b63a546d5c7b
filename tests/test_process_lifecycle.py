"""The real command at rare moments: signals from `exec` on, defects in its own duties, its start and end."""

import asyncio
import json
import os
import signal
import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.rig import SETTINGS, Sidecar, Town, play_in
from tests.street import RUN, WAIT, Street, live_in, written
from tests.test_program import ask_one

TERM, INT, HUP = signal.SIGTERM, signal.SIGINT, signal.SIGHUP


class Held(Street):
    """Its configuration is a pipe: it stands in the reading of it until the test writes."""

    async def exec(self) -> None:
        self.whole = self.path.read_bytes()
        self.path.unlink()
        os.mkfifo(self.path)
        await super().exec()
        # Returns once the process has opened it, so its own code is running and nothing is listening yet.
        self.pipe = await asyncio.to_thread(os.open, self.path, os.O_WRONLY)

    def go_on(self) -> None:
        self.path.unlink()
        self.path.write_bytes(self.whole)  # for the reading that follows the start
        os.write(self.pipe, self.whole)
        os.close(self.pipe)


@pytest.mark.parametrize("signals", [[TERM], [INT], [TERM, TERM, INT], [HUP, TERM], [TERM, HUP]])
def test_a_notice_before_the_loop_hears_signals_ends_it_in_order(
    tmp_path: Path, signals: list[signal.Signals]
) -> None:
    async def scene(street: Held) -> None:
        for number in signals:
            street.signal(number)
        street.go_on()
        await street.ended()
        assert [line["event"] for line in street.lines][-1] == "stopped"

    live_in(Held(tmp_path), scene)


@pytest.mark.parametrize("run", [RUN, RUN.partition("; ")[2]])  # as `make run` starts it, no shell ignores it
def test_a_sighup_before_the_loop_hears_signals_is_made_good_for(tmp_path: Path, run: str) -> None:
    async def scene(street: Held) -> None:
        street.signal(HUP)
        street.go_on()
        await street.event("ready")
        assert (await ask_one(street, 1))[0] == 200
        street.signal()
        await street.ended()

    street = Held(tmp_path)
    street.run = run
    live_in(street, scene)


def test_a_sighup_before_a_line_of_ours_has_run_does_not_end_it(tmp_path: Path) -> None:
    """It stands in the interpreter's own start, held there by a module that Python reads first."""
    hook, pipe = tmp_path / "hook", tmp_path / "pipe"
    hook.mkdir()
    os.mkfifo(pipe)
    (hook / "sitecustomize.py").write_text(f"open({str(pipe)!r}).read()")

    class Early(Street):
        async def exec(self) -> None:
            os.environ["PYTHONPATH"] = str(hook)
            try:
                await super().exec()
            finally:
                del os.environ["PYTHONPATH"]

    async def scene(street: Early) -> None:
        held = await asyncio.to_thread(os.open, pipe, os.O_WRONLY)
        street.signal(HUP)
        os.close(held)
        await street.event("ready")
        assert (await ask_one(street, 1))[0] == 200
        street.signal()
        await street.ended()

    live_in(Early(tmp_path), scene)


@pytest.mark.parametrize("agent", ["silent", "down", "greets"])
@pytest.mark.parametrize("signals", [[TERM], [INT, INT], [HUP, TERM, HUP, TERM]])
def test_a_notice_ends_it_whether_the_farm_agent_is_up_or_not(
    tmp_path: Path, agent: str, signals: list[signal.Signals]
) -> None:
    async def scene(street: Street) -> None:
        await street.event("started")
        if agent == "greets":
            await street.event("ready")
        for number in signals:
            street.signal(number)
        await street.ended()
        assert sum(line["event"] == "leaving" for line in street.lines) == 1

    street = Street(tmp_path, stop=900, **({"agent": "127.0.0.1:9"} if agent == "down" else {}))
    street.farm.greet = b"" if agent == "silent" else street.farm.greet
    live_in(street, scene)


def test_the_file_of_another_backend_changes_nothing_and_ours_is_taken_up_again(tmp_path: Path) -> None:
    async def scene(street: Street) -> None:
        await street.event("ready")
        links, ours = street.farm.links, street.told
        other = ours | {"name": "n2", "agent": "127.0.0.1:9", "control": "127.0.0.1:9", "stop_ms": 1}
        for wrong in (
            json.dumps(other),
            json.dumps(ours)[:-20],
            "",
            "[]",
            json.dumps(ours | {"settings": 1}),
        ):
            count = sum(line["event"] == "not_reloaded" for line in street.lines)
            street.path.write_text(wrong)
            street.signal(HUP)
            await street.event("not_reloaded", count + 1)
            assert (await ask_one(street, count + 1))[0] == 200 and street.farm.links == links
        more = json.loads(json.dumps(ours))
        more["settings"]["lanes"][0]["promise"] = 1.0
        old, street.servers = street.servers, []
        await street.open_parties()
        moved = json.loads(json.dumps(more)) | {
            "agent": written(street.servers[0].sockets[0].getsockname()),
            "control": written(street.servers[2].sockets[0].getsockname()),
        }
        street.path.write_text(json.dumps(moved))
        street.signal(HUP)
        line = await street.event("reloaded")
        assert set(line["changed"]) == {"agent", "control"} and line["cannot_change"] == ["facts"]
        await street.until(lambda: street.farm.links > links)
        assert (await ask_one(street, 99))[0] == 200
        street.signal()
        street.path.write_text(json.dumps(other))
        street.signal(HUP)  # during the drain
        await street.ended()
        for server in old:
            server.close()

    live_in(Street(tmp_path, stop=1500), scene)


# One life of a name and the next


def test_an_address_still_held_by_the_last_life_is_waited_for(tmp_path: Path) -> None:
    async def scene(street: Street) -> None:
        await street.event("address_taken")
        street.held.close()
        await street.event("ready")
        assert (await ask_one(street, 1))[0] == 200
        street.signal()
        await street.ended()

    live_in(Taken(tmp_path, stop=900), scene)


def test_a_notice_ends_the_waiting_for_an_address(tmp_path: Path) -> None:
    async def scene(street: Street) -> None:
        await street.event("address_taken")
        street.signal()
        await street.ended()
        assert not any(line["event"] == "started" for line in street.lines)
        street.held.close()

    live_in(Taken(tmp_path), scene)


class Taken(Street):
    async def exec(self) -> None:
        self.held = socket.create_server(self.address)
        await super().exec()


def test_the_next_life_of_a_name_is_ready_at_once_and_its_word_is_the_last_one_heard(tmp_path: Path) -> None:
    async def scene(street: Street) -> None:
        await street.event("ready")
        assert (await ask_one(street, 1, X_Txn_Key="k"))[0] == 200
        sides = [await Sidecar(street).open() for _ in range(5)]
        for side in sides:
            assert (await side.ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 200
        street.signal()
        await street.ended()
        assert street.control.heard[-1][1] == b'{"condition":"NotReady"}'
        street.lines.clear()
        street.process._transport.close()
        await street.exec()
        await street.event("ready")
        await street.until(lambda: street.control.heard[-1][1] == b'{"condition":"Ready"}')
        assert (await ask_one(street, 2, X_Txn_Key="k"))[0] == 200
        assert street.farm.begun == {f"{1:016x}": 1, f"{2:016x}": 1}
        street.signal()
        await street.ended()

    live_in(Street(tmp_path, stop=900), scene)


# Defects in what the process stands on: made up at a seam, and it goes on or ends all the same


def failing(*_: object) -> None:
    raise RuntimeError("made up")


@pytest.mark.parametrize(
    "broken",
    [
        lambda b: setattr(b.listener, "close_idle", failing),
        lambda b: setattr(b.dispatcher, "drain", failing),
        lambda b: setattr(b.listener, "close", failing),
        lambda b: setattr(b.listener, "finish", failing),
        lambda b: setattr(b.dispatcher, "shut_down", failing),
        lambda b: setattr(b, "figures", failing),
        lambda b: setattr(b.log, "write", failing),
    ],
)
def test_it_ends_by_itself_whatever_fails_in_its_drain(broken: Callable) -> None:
    async def scene(town: Town) -> None:
        assert (await ask_one(town, 1))[0] == 200
        side = await Sidecar(town).open()
        assert (await side.ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 200
        broken(town.backend)
        town.backend.leave()
        async with asyncio.timeout(WAIT):
            await asyncio.wait([town.life])

    play_in(Town(stop=700), scene)


def test_a_duty_that_does_not_let_go_holds_up_no_end() -> None:
    async def scene(town: Town) -> None:
        async def clinging() -> None:
            while True:
                try:
                    await asyncio.sleep(3600)
                except asyncio.CancelledError:
                    if town.life.done():
                        raise

        town.backend.duties.append(asyncio.create_task(clinging()))
        await asyncio.sleep(0)
        town.backend.leave()
        async with asyncio.timeout(WAIT):
            await town.life

    play_in(Town(stop=500), scene)


def test_a_defect_in_a_report_is_followed_by_reports() -> None:
    async def scene(town: Town) -> None:
        await town.until(lambda: len(town.control.heard) >= 1)
        exchanges = town.backend.reporter.exchanges
        ask, exchanges.ask = exchanges.ask, failing
        await town.until(lambda: town.counts["defects"] >= 1)
        exchanges.ask = ask
        said = len(town.control.heard)
        await town.until(lambda: len(town.control.heard) >= said + 2)
        assert town.control.heard[-1][1] == b'{"condition":"Ready"}'

    play_in(Town(), scene)


def test_a_defect_in_the_look_at_idle_connections_is_followed_by_looks() -> None:
    async def scene(town: Town) -> None:
        side = await Sidecar(town).open()
        assert (await side.ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 200
        (connection,) = town.backend.listener.connections
        town.backend.idle(10_000)
        tries = []

        class Failing(type(connection)):
            __slots__ = ()

            def close(self) -> None:
                tries.append(1)
                if len(tries) == 1:
                    raise RuntimeError("made up")
                super().close()

        connection.__class__ = Failing
        assert await side.reader.read() == b"" and len(tries) > 1

    play_in(Town(), scene)


# Ready


@pytest.mark.parametrize("late", ["agent", "control", "below", "all"])
def test_it_is_ready_soon_after_the_last_party_that_it_needs_is_up(tmp_path: Path, late: str) -> None:
    """Held to the page's 10 s from the moment that the party is there: a machine ten times slower passes."""

    class Late(Street):
        async def open_parties(self) -> None:
            await super().open_parties()
            self.places = [server.sockets[0].getsockname() for server in self.servers]
            self.away = [n for n, name in enumerate(("agent", "below", "control")) if late in (name, "all")]
            self.written = self.told
            for n in self.away:
                self.servers[n].close()
                await self.servers[n].wait_closed()

        @property
        def told(self) -> dict:
            return self.__dict__.get("written") or super().told

    async def scene(street: Late) -> None:
        await street.event("started")
        if late in ("control", "below"):
            await street.event("ready")
            assert (await ask_one(street, 1))[0] == 200
        parties = (street.farm, street.below, street.control)
        for n in street.away:
            street.servers[n] = await asyncio.start_server(parties[n].serve, *street.places[n])
        async with asyncio.timeout(10):
            await street.until(lambda: street.control.heard)
        assert street.control.heard[0][1] == b'{"condition":"Ready"}'
        assert (await ask_one(street, 2, "look"))[0] == 200
        street.signal()
        await street.ended()

    live_in(Late(tmp_path, stop=900), scene)


def test_twenty_that_start_together_are_ready_within_the_page_s_time(tmp_path: Path) -> None:
    async def live() -> None:
        streets = []
        for n in range(20):
            folder = tmp_path / str(n)
            folder.mkdir()
            streets.append(Street(folder))
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            await asyncio.gather(*(street.__aenter__() for street in streets))

            async def ready(street: Street) -> float:
                await street.until(lambda: street.control.heard)
                return loop.time() - began

            took = sorted(await asyncio.gather(*map(ready, streets)))
            assert took[17] < 10 and took[-1] < 30, took
            for street in streets:
                street.signal()
            await asyncio.gather(*(street.ended() for street in streets))
        finally:
            await asyncio.gather(*(street.__aexit__() for street in streets))

    asyncio.run(asyncio.wait_for(live(), 90))


# The table of descriptors full of idle callers


def test_idle_callers_that_fill_the_table_while_discovery_is_down_keep_nobody_out(tmp_path: Path) -> None:
    async def scene(street: Street) -> None:
        await street.event("ready")
        place = street.servers[2].sockets[0].getsockname()
        street.servers[2].close()
        street.control.cut()
        sides = []
        for _ in range(150):  # more than it may hold; each has carried something and rests
            side = await Sidecar(street).open()
            assert (await side.ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 200
            sides.append(side)
        held = len(os.listdir(f"/proc/{street.process.pid}/fd"))
        assert held <= 96
        links = street.farm.links
        street.farm.cut()
        await street.until(lambda: street.farm.links > links)
        for n in range(5):
            assert (await ask_one(street, n, "look"))[
                0
            ] == 200  # a new caller, the farm agent and a call below
            assert (await (await Sidecar(street).open()).ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 200
        said = len(street.control.heard)
        street.servers[2] = await asyncio.start_server(street.control.serve, *place)
        await street.until(lambda: len(street.control.heard) > said)
        for side in sides:
            side.writer.transport.abort()
        await street.until(lambda: len(os.listdir(f"/proc/{street.process.pid}/fd")) < 40)
        street.signal()
        await street.ended()

    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 96}
    live_in(Street(tmp_path, SETTINGS, 900, limits=limits), scene)
