"""The whole backend among stand-ins: the rules, broken links, bad input, drains."""

import asyncio
import dataclasses
import json
import os
import random
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

import pytest

from crowwing.contract import Step
from crowwing.program.configuration import BadConfiguration
from crowwing.program.log import Log
from tests.rig import SETTINGS, Sidecar, Town, play_in, reply


def ident(n: int) -> str:
    return f"{n:016x}"


async def ask_one(town: Town, n: int, kind: str = "book", **changes: object) -> tuple[int, str, bytes]:
    return await (await Sidecar(town).open()).ask(Sidecar.ticket(ident(n), kind, **changes))


def test_a_ticket_is_settled_with_its_own_result_and_the_free_value() -> None:
    async def scene(town: Town) -> None:
        side = await Sidecar(town).open()
        for n, kind in enumerate(("book", "look", "pay")):
            status, head, body = await side.ask(Sidecar.ticket(ident(n), kind, bytes(range(256))))
            assert status == 200 and body == town.farm.result(ident(n)) and "close" not in head
            assert town.farm.bodies[ident(n)] == bytes(range(256))
        assert town.farm.replies[ident(1)] == b"reply to call:" + ident(1).encode()
        assert f"Parent-Call: {ident(1)}\r\n" in town.below.heard[0][0]
        await town.until(lambda: town.backend.front.free_value is not None)
        status, head, _ = await side.ask(b"GET /ping HTTP/1.1\r\nHost: s\r\n\r\n")
        assert status == 200 and "X-Capacity: " in head
        assert (await side.ask(b"GET /ping?engine=1 HTTP/1.1\r\nHost: s\r\n\r\n"))[0] == 200
        town.check()

    play_in(Town(), scene)


@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_while_everything_breaks(seed: int) -> None:
    """Links are cut, calls turned away, lost and garbled, the control plane is gone."""
    chance = random.Random(seed)
    below = [
        reply(200, b"r"), reply(503, b"", "Turned-Away: 1\r\n"), reply(409, b"", "Turned-Away: 1\r\n"),
        reply(500), reply(504), "break", b"garbage\r\n\r\n", reply(200, b"last", "Connection: close\r\n"),
    ]  # fmt: skip

    async def one(town: Town, side: Sidecar, first: int) -> None:
        for n in range(first, first + 25):
            kind, body = chance.choice(("look", "book", "pay")), chance.randbytes(chance.randrange(2049))
            trouble(town)
            rank = f"{chance.random() * 0.99:.3f}"
            status, _, result = await side.ask(Sidecar.ticket(ident(n), kind, body, X_Shed_Order=rank))
            assert status in (200, 500, 503)
            assert status == 500 or town.farm.begun.get(ident(n), 0) == (status == 200)
            if status == 200:
                assert result == town.farm.result(ident(n)) and town.farm.bodies[ident(n)] == body

    def trouble(town: Town) -> None:
        luck = chance.random()
        if luck < 0.1:
            town.farm.cut()
        elif luck < 0.4:
            town.below.answers.append(chance.choice(below))
        elif luck < 0.5:
            town.control.answers.append(chance.choice(("break", "hang", reply(500))))

    async def scene(town: Town) -> None:
        sides = [await Sidecar(town).open() for _ in range(8)]
        await asyncio.gather(*(one(town, side, 1000 * n) for n, side in enumerate(sides)))
        await town.until(lambda: town.farm.links > 1 and not town.backend.desk.slips)
        town.check()
        assert town.counts["had"] == 200
        assert town.backend.desk.send.last == len(town.farm.notices) and not town.counts["notices_missed"]

    play_in(Town(), scene)


def test_commands_given_while_the_farm_agent_is_away_are_done_once_it_is_back() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        held = asyncio.create_task(ask_one(town, 1))
        await town.until(lambda: ident(1) in town.farm.running)
        town.farm.cut()
        town.farm.end(ident(1), "OK")  # noted while no link is there
        second = asyncio.create_task(ask_one(town, 2, "look"))
        await town.until(lambda: ident(2) in town.farm.running)
        assert (await held)[0] == 200
        town.farm.go_on(ident(2))
        assert (await second)[0] == 200
        assert town.farm.begun == {ident(1): 1, ident(2): 1}
        await town.until(lambda: not town.backend.desk.send.unproven)  # emptied by a sample
        town.check()

    play_in(Town(), scene)


def test_outer_limits_are_kept_without_gauges_and_without_a_link() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = town.farm.mute = True
        town.servers[0].close()
        first = asyncio.create_task(ask_one(town, 1, left=400))
        await town.until(lambda: ident(1) in town.farm.running)
        town.farm.cut()
        second = asyncio.create_task(ask_one(town, 2, left=300))
        assert (await first)[0] == 500 and (await second)[0] in (500, 503)
        assert town.counts["agent_lost"] == 1

    play_in(Town(), scene)


def test_the_watch_goes_on_by_its_own_timers_when_no_gauges_and_no_news_come() -> None:
    """A timer fired early is, for the module, still out: it would ask for no other and watch no more."""

    async def scene(town: Town) -> None:
        desk, turns = town.backend.desk, []
        turn = desk.manager.turn
        desk.manager.turn = lambda now: turns.append(now) or turn(now)
        desk.send.sample = lambda: False
        town.farm.hold = True
        asked = asyncio.create_task(ask_one(town, 1, left=2500))
        assert (await asked)[0] == 500 and len(turns) > 10

    play_in(Town(), scene)


def test_a_link_that_falls_silent_is_opened_anew() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = town.farm.mute = True
        asked = asyncio.create_task(ask_one(town, 1))
        await town.until(lambda: town.counts["agent_silent"] > 0)
        town.farm.mute = False
        await town.until(lambda: town.farm.links > 1 and ident(1) in town.farm.running)
        town.farm.go_on(ident(1))
        assert (await asked)[0] == 200
        town.check()

    lanes = [lane | {"promise": 1000.0} for lane in SETTINGS["lanes"]]
    play_in(Town(SETTINGS | {"lanes": lanes}), scene)


def test_before_the_farm_agent_is_up_nothing_is_taken_and_checks_are_bad() -> None:
    async def scene(town: Town) -> None:
        assert (await (await Sidecar(town).open()).ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 503
        assert (await ask_one(town, 1))[0] == 503
        assert not town.control.heard
        await town.until(lambda: town.farm.writer is not None)
        town.farm.greet = b"greeting COLD 1000\r\n"
        town.farm.writer.write(town.farm.greet)
        await town.until(lambda: town.backend.front.good)
        manager = town.backend.desk.manager
        assert manager.facts.cold and 900_000 < town.backend.desk.now() - manager.born < 30_000_000
        await town.until(lambda: town.backend.desk.send.fenced)
        assert (await ask_one(town, 2))[0] == 200

    town = Town()
    town.farm.greet = b""
    play_in(town, scene)


def test_a_full_log_pipe_costs_lines_and_says_so() -> None:
    read, write = os.pipe()
    log = Log("n1", write)
    for _ in range(100):
        log.write("filled", text="x" * 3000)
    assert log.lost
    os.set_blocking(read, False)
    while len(os.read(read, 1 << 20)) == 1 << 20:
        pass
    log.write("after", trace="y" * 9000)
    line = json.loads(os.read(read, 1 << 20))
    assert (
        line["lines_lost"] > 0 and line["event"] == "after" and line["trace"].endswith("y") and not log.lost
    )
    os.close(read)
    log.write("nobody reads")
    os.close(write)


def test_a_line_that_cannot_be_read_is_a_break() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        asked = asyncio.create_task(ask_one(town, 1))
        await town.until(lambda: ident(1) in town.farm.running)
        town.farm.writer.write(b"no such notice\r\n")
        await town.until(lambda: town.farm.links > 1)
        town.farm.go_on(ident(1))
        assert (await asked)[0] == 200
        town.farm.note(f"outcome {{}} {ident(1)} OK 3 0", b"")  # news of a ticket that is over
        town.farm.hold = False
        assert (await ask_one(town, 2))[0] == 200
        town.check()

    play_in(Town(), scene)


def test_calls_below_reuse_their_connection_and_never_run_is_told_from_unsure() -> None:
    async def scene(town: Town) -> None:
        for n in range(3):
            assert (await ask_one(town, n, "look"))[0] == 200
        assert town.below.links == 1
        town.below.answers += [reply(503, b"", "Turned-Away: 1\r\n")]
        assert (await ask_one(town, 3, "look"))[0] == 200 and town.counts["call_never_ran"] == 1
        town.below.answers += ["break"]  # after the request was read: it proves nothing
        assert (await ask_one(town, 4, "look"))[0] == 200 and town.counts["call_unsure"] == 1
        town.servers[1].close()
        town.backend.desk.call.exchanges.close()
        assert (await ask_one(town, 5, "look", left=900))[0] == 500
        assert town.counts["call_never_ran"] > 1 and town.counts["call_unsure"] == 1

    play_in(Town(), scene)


def test_a_run_that_ends_gives_up_its_call() -> None:
    async def scene(town: Town) -> None:
        town.below.answers += ["hang"]
        asked = asyncio.create_task(ask_one(town, 1, "look"))
        await town.until(lambda: len(town.below.heard) == 1)
        town.farm.end(ident(1), "ERROR")
        assert (await asked)[0] == 500
        await town.until(lambda: town.backend.desk.call.exchanges.open == 0)
        town.check()

    play_in(Town(), scene)


def test_bad_input_never_reaches_the_module_and_a_second_request_waits_its_turn() -> None:
    async def scene(town: Town) -> None:
        side = await Sidecar(town).open()
        for bad in (Sidecar.ticket(ident(1), "nothing"), Sidecar.ticket(ident(1), X_Merchant="who"),
                    Sidecar.ticket(ident(1), X_Ttl_Ms=""), Sidecar.ticket("short"),
                    Sidecar.ticket(ident(1), X_Ingress_Time="1764576000123"),
                    Sidecar.ticket(ident(1), X_Ttl_Ms="999999999")):  # fmt: skip
            assert (await side.ask(bad))[0] == 400
        assert (await side.ask(Sidecar.ticket(ident(2))))[0] == 200
        both = await side.ask(Sidecar.ticket(ident(3), "look") + Sidecar.ticket(ident(4)))
        assert both[0] == 200 and both[2] == town.farm.result(ident(3))
        assert (await side.answer())[0] == 400 and await side.reader.read() == b""
        wrong = await Sidecar(town).open()
        assert (await wrong.ask(b"POST /call/book HTTP/1.1\r\nContent-Length: x\r\n"))[0] == 400
        assert await wrong.reader.read() == b""  # and nothing behind it
        slow = await Sidecar(town).open()
        slow.writer.write(Sidecar.ticket(ident(5))[:-1])
        assert (await ask_one(town, 6))[0] == 200
        slow.writer.write_eof()
        assert (await slow.answer())[0] == 400 and await slow.reader.read() == b""
        slower = await Sidecar(town).open()
        town.backend.listener.patience = 0.01
        slower.writer.write(Sidecar.ticket(ident(7))[:-1])
        assert (await slower.answer())[0] == 400 and await slower.reader.read() == b""
        assert town.counts["had"] == 3 and town.counts["bad_requests"] == 10
        town.check()

    play_in(Town(), scene)


def test_the_same_try_over_two_connections_runs_once_and_answers_both() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        asked = [asyncio.create_task(ask_one(town, 1, "pay")) for _ in range(2)]
        await town.until(lambda: town.counts["joined"] == 1 and ident(1) in town.farm.running)
        town.farm.go_on(ident(1))
        assert [status for status, _, _ in await asyncio.gather(*asked)] == [200, 200]
        assert (await ask_one(town, 1, "pay"))[0] == 500  # irreversible: it ran, and does not again
        town.check()

    play_in(Town(), scene)


def test_a_caller_whose_connection_is_reset_waits_no_more() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        side = await Sidecar(town).open()
        side.writer.write(Sidecar.ticket(ident(1)))
        await town.until(lambda: ident(1) in town.farm.running)
        side.writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, bytes([1] + [0] * 7)
        )
        side.writer.transport.abort()  # with a reset
        await town.until(lambda: town.counts["gone"] == 1 and not town.backend.desk.slips)
        town.check()

    play_in(Town(), scene)


def test_strangers_get_a_word_or_a_close_and_leave_room_for_others() -> None:
    async def scene(town: Town) -> None:
        good, most = await Sidecar(town).open(), town.backend.listener.most
        assert (await good.ask(Sidecar.ticket(ident(1))))[0] == 200
        silent = [await Sidecar(town).open() for _ in range(3 * most)]
        assert (await ask_one(town, 2))[0] == 200  # at once, whoever else is there
        assert len(town.backend.listener.connections) <= most
        assert (await good.ask(Sidecar.ticket(ident(3))))[0] == 200  # proven ones stay where others can go
        for side in silent:
            assert await side.reader.read() == b""
        huge = await Sidecar(town).open()
        huge.writer.write(Sidecar.ticket(ident(4), body=b"x" * 60_000_000))
        assert (await huge.answer())[0] == 413
        dropped = town.backend.listener.connections.copy()
        with suppress(OSError):  # the end, or a reset for what was not read
            assert await huge.reader.read() == b""
        await town.until(lambda: not dropped & town.backend.listener.connections)
        town.check()

    play_in(Town(sockets=96), scene)


def test_idle_connections_close_as_asked_and_make_room_at_the_limit() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        most = town.backend.listener.most
        busy = asyncio.create_task(ask_one(town, 1))
        sides = [await Sidecar(town).open() for _ in range(most + 5)]
        assert (await sides[-1].ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 200
        assert len(town.backend.listener.connections) <= most
        town.backend.idle(10_000)
        for side in sides:
            assert await side.reader.read() == b""
        town.farm.go_on(ident(1))
        assert (await busy)[0] == 200
        await town.until(lambda: not town.backend.listener.connections and not town.backend.pool.lent - 1)
        town.check()

    play_in(Town(sockets=64), scene)


def test_a_ticket_that_lies_there_when_an_idle_connection_closes_is_answered() -> None:
    async def scene(town: Town) -> None:
        with socket.create_connection(town.address) as side:
            await town.until(lambda: len(town.backend.listener.connections) == 1)
            side.sendall(Sidecar.ticket(ident(1)))
            for connection in town.backend.listener.connections:
                connection.close()
            side.setblocking(False)
            answer = b""
            while part := await asyncio.get_running_loop().sock_recv(side, 4096):
                answer += part
        assert answer.startswith(b"HTTP/1.1 200 OK\r\n") and b"Connection: close\r\n" in answer
        assert answer.endswith(town.farm.result(ident(1)))
        town.check()

    play_in(Town(), scene)


def test_a_defect_in_one_ticket_costs_no_other() -> None:
    async def scene(town: Town) -> None:
        launch = town.backend.desk.send.launch

        def failing(slip: object, figure: float = 0) -> None:
            if slip.id == ident(1):
                raise RuntimeError("made up")
            launch(slip, figure)

        town.backend.desk.route.by_ticket[Step.RUN] = failing
        answers = await asyncio.gather(*(ask_one(town, n) for n in range(4)))
        assert [status for status, _, _ in answers] == [200, 500, 200, 200]
        assert town.counts["defects"] == 1 and not town.backend.desk.manager.open
        assert "made up" in next(line["trace"] for line in town.lines if line["event"] == "defect")
        turn, town.backend.desk.manager.turn = town.backend.desk.manager.turn, lambda now: 1 / 0
        assert (await ask_one(town, 5))[0] == 500
        town.backend.desk.manager.turn = turn
        assert (await ask_one(town, 6))[0] == 200

    play_in(Town(), scene)


def test_the_control_plane_is_told_again_after_an_outage_and_at_once_of_a_change() -> None:
    async def scene(town: Town) -> None:
        town.control.answers += ["break", reply(500), "hang"]
        await town.until(lambda: len(town.control.heard) >= 5)
        assert town.control.heard[0][1] == b'{"condition":"Ready"}'
        assert town.control.heard[0][0].startswith("PUT /v2/endpoints/n1 HTTP/1.1\r\n")
        town.control.usual = lambda head, body: "hang"
        await town.until(lambda: town.counts["control_lost"] > 0)
        town.backend.ready(False)  # said at once, whatever is still out
        await town.until(lambda: town.control.heard[-1][1] == b'{"condition":"NotReady"}')
        assert town.backend.reporter.exchanges.open <= 2
        town.control.usual = lambda head, body: reply(204)
        await town.until(lambda: town.counts["control_back"] > 0)
        assert (await (await Sidecar(town).open()).ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 503

    play_in(Town(), scene)


def test_a_drain_answers_all_it_has_and_takes_nothing_after_the_grace() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        sides = [await Sidecar(town).open() for _ in range(2)]
        first = asyncio.create_task(sides[0].ask(Sidecar.ticket(ident(1))))
        await town.until(lambda: ident(1) in town.farm.running)
        notice = town.backend.desk.now()
        town.backend.leave()
        stamp = str(notice // 1000)
        within = asyncio.create_task(sides[1].ask(Sidecar.ticket(ident(2), X_Ingress_Time=stamp)))
        await town.until(lambda: ident(2) in town.farm.running)
        await town.until(lambda: town.backend.desk.now() > notice + 1_100_000)
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


def test_the_notice_ends_idle_connections_and_what_lies_there_is_answered() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        idle, late, busy = [await Sidecar(town).open() for _ in range(3)]
        for side in (idle, late):
            assert (await side.ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 200
        first = asyncio.create_task(busy.ask(Sidecar.ticket(ident(1))))
        await town.until(lambda: ident(1) in town.farm.running)
        late.writer.write(Sidecar.ticket(ident(2)))  # in the socket, not read yet
        town.backend.leave()
        async with asyncio.timeout(1):
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


def test_a_drain_answers_for_what_does_not_end_in_time() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        asked = asyncio.create_task(ask_one(town, 1))
        await town.until(lambda: ident(1) in town.farm.running)
        town.backend.leave()
        assert (await asked)[0] == 500
        await town.life

    play_in(Town(stop=600), scene)


def test_new_addresses_are_taken_up_in_service_and_nothing_had_is_lost() -> None:
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
        assert town.backend.desk.call.exchanges.address not in old
        town.check()

    play_in(Town(), scene)


def test_what_cannot_be_read_again_changes_nothing_and_is_tried_until_it_can() -> None:
    async def scene(town: Town) -> None:
        good, tries = town.backend.read, []

        def broken() -> None:
            tries.append(1)
            raise BadConfiguration("half written")

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


def test_another_ticket_under_an_open_id_joins_nothing_and_an_unknown_one_is_no_error() -> None:
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
        assert (await unknown)[0] == 500 and not town.backend.desk.manager.errors
        town.check()

    play_in(Town(), scene)


# As a process

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


def test_it_starts_from_its_configuration_and_leaves_on_the_notice(tmp_path: Path) -> None:
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


def test_what_cannot_be_served_is_one_plain_line(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        good = told(at(taken), "127.0.0.1:9")
        labelled = [SETTINGS["lanes"][0] | {"semantics": "keyed"}]
        cases = [
            (good, 1), ("{", 2), ({"name": "n1"}, 2), (good | {"agent": "nowhere"}, 2),
            (good | {"seed": "xyz"}, 2), (good | {"settings": {}}, 2),
            (good | {"settings": SETTINGS | {"lanes": labelled}}, 2),
        ]  # fmt: skip
        for wrong, code in cases:
            process = start(tmp_path, wrong)
            assert process.wait(30) == code
            assert len(process.stderr.read().splitlines()) == 1 and process.stdout.read() == ""
        process = start(tmp_path, good, PROXY_CONFIG=str(tmp_path / "none"))
        assert process.wait(30) == 2 and len(process.stderr.read().splitlines()) == 1
