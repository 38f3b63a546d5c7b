"""Rare states of the process: signals from `exec` on, exceptions in its own tasks, its start and its end."""

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


class BlockedConfiguration(Street):
    """Reads its configuration from a pipe, and so blocks until the test writes it."""

    async def exec(self) -> None:
        self.full_configuration = self.path.read_bytes()
        self.path.unlink()
        os.mkfifo(self.path)
        await super().exec()
        # Returns once the process has opened the pipe: its own code runs, and nothing is listening yet.
        self.pipe = await asyncio.to_thread(os.open, self.path, os.O_WRONLY)

    def unblock(self) -> None:
        self.path.unlink()
        self.path.write_bytes(self.full_configuration)  # for the reload after the start
        os.write(self.pipe, self.full_configuration)
        os.close(self.pipe)


@pytest.mark.parametrize("signals", [[TERM], [INT], [TERM, TERM, INT], [HUP, TERM], [TERM, HUP]])
def test_sigterm_before_the_loop_handles_signals_ends_the_process_in_order(
    tmp_path: Path, signals: list[signal.Signals]
) -> None:
    async def scene(street: BlockedConfiguration) -> None:
        for number in signals:
            street.signal(number)
        street.unblock()
        await street.ended()
        assert [line["event"] for line in street.lines][-1] == "stopped"

    live_in(BlockedConfiguration(tmp_path), scene)


# The second as in `make run`: no shell ignores SIGHUP.
@pytest.mark.parametrize("run", [RUN, RUN.partition("; ")[2]])
def test_a_sighup_before_the_loop_handles_signals_is_followed_by_a_reload(tmp_path: Path, run: str) -> None:
    async def scene(street: BlockedConfiguration) -> None:
        street.signal(HUP)
        street.unblock()
        await street.event("ready")
        assert (await ask_one(street, 1))[0] == 200
        street.signal()
        await street.ended()

    street = BlockedConfiguration(tmp_path)
    street.run = run
    live_in(street, scene)


def test_a_sighup_before_any_code_of_the_program_does_not_end_the_process(tmp_path: Path) -> None:
    """The interpreter is blocked in its own start by a module that Python imports first."""
    hook, pipe = tmp_path / "hook", tmp_path / "pipe"
    hook.mkdir()
    os.mkfifo(pipe)
    (hook / "sitecustomize.py").write_text(f"open({str(pipe)!r}).read()")

    class BlockedInterpreter(Street):
        async def exec(self) -> None:
            os.environ["PYTHONPATH"] = str(hook)
            try:
                await super().exec()
            finally:
                del os.environ["PYTHONPATH"]

    async def scene(street: BlockedInterpreter) -> None:
        writer = await asyncio.to_thread(os.open, pipe, os.O_WRONLY)
        street.signal(HUP)
        os.close(writer)
        await street.event("ready")
        assert (await ask_one(street, 1))[0] == 200
        street.signal()
        await street.ended()

    live_in(BlockedInterpreter(tmp_path), scene)


@pytest.mark.parametrize("agent", ["silent", "down", "greets"])
@pytest.mark.parametrize("signals", [[TERM], [INT, INT], [HUP, TERM, HUP, TERM]])
def test_sigterm_ends_the_process_whether_the_worker_agent_is_up_or_not(
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


def test_another_backends_file_changes_nothing_and_the_own_file_is_applied_later(tmp_path: Path) -> None:
    async def scene(street: Street) -> None:
        await street.event("ready")
        links, own = street.farm.links, street.told
        foreign = own | {"name": "n2", "agent": "127.0.0.1:9", "control": "127.0.0.1:9", "stop_ms": 1}
        for invalid in (
            json.dumps(foreign),
            json.dumps(own)[:-20],
            "",
            "[]",
            json.dumps(own | {"settings": 1}),
        ):
            count = sum(line["event"] == "not_reloaded" for line in street.lines)
            street.path.write_text(invalid)
            street.signal(HUP)
            await street.event("not_reloaded", count + 1)
            assert (await ask_one(street, count + 1))[0] == 200 and street.farm.links == links
        changed = json.loads(json.dumps(own))
        changed["settings"]["lanes"][0]["promise"] = 1.0
        old, street.servers = street.servers, []
        await street.open_parties()
        moved = json.loads(json.dumps(changed)) | {
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
        street.path.write_text(json.dumps(foreign))
        street.signal(HUP)  # during the drain
        await street.ended()
        for server in old:
            server.close()

    live_in(Street(tmp_path, stop=1500), scene)


# Successive incarnations of a backend


def test_an_address_still_in_use_by_the_previous_process_is_waited_for(tmp_path: Path) -> None:
    async def scene(street: Street) -> None:
        await street.event("address_taken")
        street.blocker.close()
        await street.event("ready")
        assert (await ask_one(street, 1))[0] == 200
        street.signal()
        await street.ended()

    live_in(AddressInUse(tmp_path, stop=900), scene)


def test_sigterm_ends_the_wait_for_an_address(tmp_path: Path) -> None:
    async def scene(street: Street) -> None:
        await street.event("address_taken")
        street.signal()
        await street.ended()
        assert not any(line["event"] == "started" for line in street.lines)
        street.blocker.close()

    live_in(AddressInUse(tmp_path), scene)


class AddressInUse(Street):
    async def exec(self) -> None:
        self.blocker = socket.create_server(self.address)
        await super().exec()


def test_the_next_incarnation_is_ready_at_once_and_its_report_is_the_last(tmp_path: Path) -> None:
    async def scene(street: Street) -> None:
        await street.event("ready")
        assert (await ask_one(street, 1, X_Txn_Key="k"))[0] == 200
        sidecars = [await Sidecar(street).open() for _ in range(5)]
        for sidecar in sidecars:
            assert (await sidecar.ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 200
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


# Exceptions injected into the process's own parts: it goes on, or ends as usual


def failing(*_: object) -> None:
    raise RuntimeError("injected")


@pytest.mark.parametrize(
    "break_part",
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
def test_the_process_ends_whatever_fails_in_its_drain(break_part: Callable) -> None:
    async def scene(town: Town) -> None:
        assert (await ask_one(town, 1))[0] == 200
        sidecar = await Sidecar(town).open()
        assert (await sidecar.ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 200
        break_part(town.backend)
        town.backend.leave()
        async with asyncio.timeout(WAIT):
            await asyncio.wait([town.life])

    play_in(Town(stop=700), scene)


def test_a_task_that_ignores_cancellation_does_not_delay_the_end() -> None:
    async def scene(town: Town) -> None:
        async def ignores_cancellation() -> None:
            while True:
                try:
                    await asyncio.sleep(3600)
                except asyncio.CancelledError:
                    if town.life.done():
                        raise

        town.backend.background_tasks.append(asyncio.create_task(ignores_cancellation()))
        await asyncio.sleep(0)
        town.backend.leave()
        async with asyncio.timeout(WAIT):
            await town.life

    play_in(Town(stop=500), scene)


def test_reports_continue_after_an_error_in_one() -> None:
    async def scene(town: Town) -> None:
        await town.until(lambda: len(town.control.heard) >= 1)
        exchanges = town.backend.reporter.exchanges
        ask, exchanges.request = exchanges.request, failing
        await town.until(lambda: town.counts["defects"] >= 1)
        exchanges.request = ask
        reports = len(town.control.heard)
        await town.until(lambda: len(town.control.heard) >= reports + 2)
        assert town.control.heard[-1][1] == b'{"condition":"Ready"}'

    play_in(Town(), scene)


def test_idle_checks_continue_after_an_error_in_one() -> None:
    async def scene(town: Town) -> None:
        sidecar = await Sidecar(town).open()
        assert (await sidecar.ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 200
        (connection,) = town.backend.listener.connections
        town.backend.idle(10_000)
        attempts = []

        class Failing(type(connection)):
            __slots__ = ()

            def close(self) -> None:
                attempts.append(1)
                if len(attempts) == 1:
                    raise RuntimeError("injected")
                super().close()

        connection.__class__ = Failing
        assert await sidecar.reader.read() == b"" and len(attempts) > 1

    play_in(Town(), scene)


# Readiness


@pytest.mark.parametrize("late", ["agent", "control", "below", "all"])
def test_it_is_ready_soon_after_the_last_required_party_is_up(tmp_path: Path, late: str) -> None:
    """Ready within the required 10 s after the party is up; a machine ten times slower would pass."""

    class LateParty(Street):
        async def open_parties(self) -> None:
            await super().open_parties()
            self.addresses = [server.sockets[0].getsockname() for server in self.servers]
            self.missing = [
                n for n, name in enumerate(("agent", "below", "control")) if late in (name, "all")
            ]
            self.full_configuration = self.told
            for n in self.missing:
                self.servers[n].close()
                await self.servers[n].wait_closed()

        @property
        def told(self) -> dict:
            return self.__dict__.get("full_configuration") or super().told

    async def scene(street: LateParty) -> None:
        await street.event("started")
        if late in ("control", "below"):
            await street.event("ready")
            assert (await ask_one(street, 1))[0] == 200
        parties = (street.farm, street.below, street.control)
        for n in street.missing:
            street.servers[n] = await asyncio.start_server(parties[n].serve, *street.addresses[n])
        async with asyncio.timeout(10):
            await street.until(lambda: street.control.heard)
        assert street.control.heard[0][1] == b'{"condition":"Ready"}'
        assert (await ask_one(street, 2, "look"))[0] == 200
        street.signal()
        await street.ended()

    live_in(LateParty(tmp_path, stop=900), scene)


def test_twenty_backends_started_together_are_ready_within_the_required_time(tmp_path: Path) -> None:
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

            durations = sorted(await asyncio.gather(*map(ready, streets)))
            assert durations[17] < 10 and durations[-1] < 30, durations
            for street in streets:
                street.signal()
            await asyncio.gather(*(street.ended() for street in streets))
        finally:
            await asyncio.gather(*(street.__aexit__() for street in streets))

    asyncio.run(asyncio.wait_for(live(), 90))


# Idle connections that use up the file descriptors


def test_idle_connections_up_to_the_limit_during_a_discovery_outage_keep_no_client_out(
    tmp_path: Path,
) -> None:
    async def scene(street: Street) -> None:
        await street.event("ready")
        control_address = street.servers[2].sockets[0].getsockname()
        street.servers[2].close()
        street.control.cut()
        sidecars = []
        for _ in range(150):  # more than the limit; each has carried a request and is idle
            sidecar = await Sidecar(street).open()
            assert (await sidecar.ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 200
            sidecars.append(sidecar)
        descriptors = len(os.listdir(f"/proc/{street.process.pid}/fd"))
        assert descriptors <= 96
        links = street.farm.links
        street.farm.cut()
        await street.until(lambda: street.farm.links > links)
        for n in range(5):
            assert (await ask_one(street, n, "look"))[
                0
            ] == 200  # a new connection, the worker agent and a downstream call
            assert (await (await Sidecar(street).open()).ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 200
        reports = len(street.control.heard)
        street.servers[2] = await asyncio.start_server(street.control.serve, *control_address)
        await street.until(lambda: len(street.control.heard) > reports)
        for sidecar in sidecars:
            sidecar.writer.transport.abort()
        await street.until(lambda: len(os.listdir(f"/proc/{street.process.pid}/fd")) < 40)
        street.signal()
        await street.ended()

    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 96}
    live_in(Street(tmp_path, SETTINGS, 900, limits=limits), scene)
