"""The life cycle of a complete backend with stand-ins: errors, readiness reports, drains, reloads, start."""

import asyncio
import dataclasses
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

from crowwing.contract import Step
from crowwing.program.configuration import ConfigurationError
from tests.parties import reply
from tests.rig import SETTINGS, Sidecar, Town, play_in
from tests.test_program import ask_one, ident


def test_an_error_in_one_request_affects_no_other() -> None:
    async def scene(town: Town) -> None:
        launch = town.backend.dispatcher.commands.launch

        def failing(request: object, figure: float = 0) -> None:
            if request.id == ident(1):
                raise RuntimeError("made up")
            launch(request, figure)

        town.backend.dispatcher.router.request_steps[Step.RUN] = failing
        answers = await asyncio.gather(*(ask_one(town, n) for n in range(4)))
        assert [status for status, _, _ in answers] == [200, 500, 200, 200]
        assert town.counts["defects"] == 1 and not town.backend.dispatcher.manager.requests
        assert "made up" in next(line["trace"] for line in town.lines if line["event"] == "defect")
        turn, town.backend.dispatcher.manager.decide = (
            town.backend.dispatcher.manager.decide,
            lambda now: 1 / 0,
        )
        assert (await ask_one(town, 5))[0] == 500
        town.backend.dispatcher.manager.decide = turn
        assert (await ask_one(town, 6))[0] == 200

    play_in(Town(), scene)


def test_acknowledged_reports_use_one_connection() -> None:
    async def scene(town: Town) -> None:  # answers 204 without a length, as it has no body
        await town.until(lambda: len(town.control.heard) >= 4)
        assert town.control.links == 1
        town.control.cut()  # losing an idle connection loses no report
        heard = len(town.control.heard)
        await town.until(lambda: len(town.control.heard) >= heard + 2)
        assert town.control.links == 2 and town.counts["control_lost"] == 0

    play_in(Town(), scene)


def test_reports_resume_after_an_outage_and_a_change_is_reported_at_once() -> None:
    async def scene(town: Town) -> None:
        town.control.answers += ["break", reply(500), "hang"]
        await town.until(lambda: len(town.control.heard) >= 5)
        assert town.control.heard[0][1] == b'{"condition":"Ready"}'
        assert town.control.heard[0][0].startswith("PUT /v2/endpoints/n1 HTTP/1.1\r\n")
        town.control.usual = lambda head, body: "hang"
        await town.until(lambda: town.counts["control_lost"] > 0)
        town.backend.ready(False)  # reported at once, even while a report is pending
        await town.until(lambda: town.control.heard[-1][1] == b'{"condition":"NotReady"}')
        assert town.backend.reporter.exchanges.open <= 2
        town.control.usual = lambda head, body: reply(204)
        await town.until(lambda: town.counts["control_back"] > 0)
        assert (await (await Sidecar(town).open()).ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 503

    play_in(Town(), scene)


def test_a_drain_completes_open_requests_and_accepts_none_after_the_grace_period() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        sides = [await Sidecar(town).open() for _ in range(2)]
        first = asyncio.create_task(sides[0].ask(Sidecar.ticket(ident(1))))
        await town.until(lambda: ident(1) in town.farm.running)
        notice = town.backend.dispatcher.now()
        town.backend.leave()
        stamp = str(notice // 1000)
        within = asyncio.create_task(sides[1].ask(Sidecar.ticket(ident(2), X_Ingress_Time=stamp)))
        await town.until(lambda: ident(2) in town.farm.running)
        await town.until(lambda: town.backend.dispatcher.now() > notice + 1_100_000)
        status, head, _ = await ask_one(town, 4)
        assert status == 503 and "Connection: close" in head and ident(4) not in town.farm.begun
        town.farm.go_on(ident(1))
        town.farm.go_on(ident(2))
        status, head, _ = await first
        assert status == 200 and "Connection: close" in head
        assert (await within)[0] == 200
        await town.life
        town.check()
        assert town.control.heard[-1][1] == b'{"condition":"NotReady"}'

    play_in(Town(stop=20000), scene)


def test_a_drain_closes_idle_connections_and_answers_unread_requests() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        idle, late, busy = [await Sidecar(town).open() for _ in range(3)]
        for side in (idle, late):
            assert (await side.ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 200
        first = asyncio.create_task(busy.ask(Sidecar.ticket(ident(1))))
        await town.until(lambda: ident(1) in town.farm.running)
        late.writer.write(Sidecar.ticket(ident(2)))  # in the socket buffer, not read yet
        town.backend.leave()
        async with asyncio.timeout(4):  # the idle time-out, a third of 15 s, would close it later
            assert await idle.reader.read() == b""
        await town.until(lambda: ident(2) in town.farm.running)
        town.farm.go_on(ident(1))
        town.farm.go_on(ident(2))
        status, head, _ = await late.answer()
        assert status == 200 and "Connection: close" in head
        assert (await first)[0] == 200
        town.farm.answered(ident(2))
        await town.life
        town.check()

    play_in(Town(stop=20000), scene)


def test_a_drain_fails_requests_that_do_not_end_in_time() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        asked = asyncio.create_task(ask_one(town, 1))
        await town.until(lambda: ident(1) in town.farm.running)
        town.backend.leave()
        assert (await asked)[0] == 500
        await town.life

    play_in(Town(stop=600), scene)


def test_a_reload_changes_addresses_and_loses_no_request() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        asked = asyncio.create_task(ask_one(town, 1, "look"))
        await town.until(lambda: ident(1) in town.farm.running)
        old = [server.sockets[0].getsockname() for server in town.servers]
        links = town.farm.links
        for server in town.servers:
            server.close()
        await town.reopen()
        said = len(town.control.heard)
        for _ in range(2):
            town.backend.reload()
        await town.until(lambda: town.farm.links == links + 1)
        await town.until(lambda: len(town.control.heard) > said)
        town.farm.go_on(ident(1))
        assert (await asked)[0] == 200 and town.farm.begun == {ident(1): 1}
        line = next(line for line in town.lines if line["event"] == "reloaded")
        assert set(line["changed"]) == {"agent", "below", "control"} and not line["cannot_change"]
        assert town.backend.dispatcher.calls.exchanges.address not in old
        town.check()

    play_in(Town(), scene)


def test_an_unreadable_reload_changes_nothing_and_is_retried() -> None:
    async def scene(town: Town) -> None:
        good, tries = town.backend.read, []

        def broken() -> None:
            tries.append(1)
            raise ConfigurationError("half written")

        town.backend.read = broken
        town.backend.reload()
        await town.until(lambda: len(tries) > 3)
        assert (await ask_one(town, 1))[0] == 200
        town.backend.read = lambda: dataclasses.replace(good(), name="n2", control=("127.0.0.1", 9))
        await town.until(lambda: any(line["event"] == "reloaded" for line in town.lines))
        line = next(line for line in town.lines if line["event"] == "reloaded")
        assert line["changed"] == ["control"] and line["cannot_change"] == ["name"]
        assert sum(line["event"] == "not_reloaded" for line in town.lines) == 1
        town.check()

    play_in(Town(), scene)


def test_a_different_request_with_an_open_id_does_not_join_it() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        asked = asyncio.create_task(ask_one(town, 1))
        await town.until(lambda: ident(1) in town.farm.running)
        for other in ({"body": b"other"}, {"kind": "pay"}, {"X_Router": "5"}, {"X_Shed_Order": "0.1"}):
            assert (await ask_one(town, 1, **other))[0] == 400
        again = asyncio.create_task(ask_one(town, 1))
        await town.until(lambda: town.counts["joined"] == 1)
        town.farm.go_on(ident(1))
        assert (await asked)[0] == (await again)[0] == 200
        unknown = asyncio.create_task(ask_one(town, 2))
        await town.until(lambda: ident(2) in town.farm.running)
        town.farm.running.clear()
        town.farm.writer.write(f"refusal launch {ident(2)}\r\n".encode())
        assert (await unknown)[0] == 500 and not town.backend.dispatcher.manager.error_rate
        town.check()

    play_in(Town(), scene)


# As a process of its own

ROOT = Path(__file__).parent.parent


def start(tmp_path: Path, told: dict | str, **more: str) -> subprocess.Popen:
    path = tmp_path / "configuration.json"
    path.write_text(told if isinstance(told, str) else json.dumps(told))
    environment = os.environ | {"PROXY_CONFIG": str(path)} | more
    command = [sys.executable, "-O", "-m", "crowwing"]
    pipe = subprocess.PIPE
    return subprocess.Popen(command, cwd=ROOT, env=environment, stdout=pipe, stderr=pipe, text=True)


def at(place: socket.socket) -> str:
    return f"127.0.0.1:{place.getsockname()[1]}"


def told(listen: str, agent: str) -> dict:
    return {
        "name": "n1", "listen": listen, "agent": agent, "control": "127.0.0.1:9", "backend": "127.0.0.1:9",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "seed": "8c1f30d27a5be964", "stop_ms": 400,
        "settings": SETTINGS,
    }  # fmt: skip


def test_the_process_starts_from_its_configuration_and_drains_on_sigterm(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as farm:
        with socket.create_server(("127.0.0.1", 0)) as free:
            listen = at(free)
        process = start(tmp_path, told(listen, at(farm)))
        link, _ = farm.accept()
        assert link.recv(100) == b"subscribe 0\r\n"
        link.sendall(b"greeting COLD 5\r\n")
        assert link.recv(100).startswith(b"sample ")
        with socket.create_server(("127.0.0.1", 0)) as other:
            (tmp_path / "configuration.json").write_text("{")
            process.send_signal(signal.SIGHUP)
            assert json.loads(process.stdout.readline())["event"] == "started"
            while json.loads(process.stdout.readline())["event"] != "not_reloaded":
                pass
            (tmp_path / "configuration.json").write_text(json.dumps(told(listen, at(other))))
            moved, _ = other.accept()
            assert moved.recv(100) == b"subscribe 0\r\n"
            process.send_signal(signal.SIGTERM)
            assert process.wait(30) == 0
            events = [json.loads(line)["event"] for line in process.stdout.read().splitlines()]
            assert "reloaded" in events and events[-1] == "stopped" and process.stderr.read() == ""
            moved.close()
        link.close()


def test_an_invalid_configuration_is_one_line(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        good = told(at(taken), "127.0.0.1:9")
        unknown = [SETTINGS["lanes"][0] | {"semantics": "now and then"}]
        cases = [
            (good, 1), ("{", 2), ({"name": "n1"}, 2), (good | {"agent": "nowhere"}, 2),
            (good | {"seed": "xyz"}, 2), (good | {"settings": {}}, 2),
            (good | {"settings": SETTINGS | {"lanes": unknown}}, 2),
        ]  # fmt: skip
        for wrong, code in cases:
            process = start(tmp_path, wrong)
            assert process.wait(30) == code
            said = [json.loads(line)["event"] for line in process.stdout.read().splitlines()]
            assert said == (["address_taken"] if code == 1 else [])
            assert len(process.stderr.read().splitlines()) == 1
        process = start(tmp_path, good, PROXY_CONFIG=str(tmp_path / "none"))
        assert process.wait(30) == 2 and len(process.stderr.read().splitlines()) == 1
