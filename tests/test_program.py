"""The complete backend with stand-ins for the other parties: rules, broken connections, bad input, limits."""

import asyncio
import json
import os
import random
import socket
from contextlib import suppress

import pytest

from crowwing.program.log import Log
from tests.parties import reply
from tests.rig import SETTINGS, Sidecar, Town, play_in


def ident(n: int) -> str:
    return f"{n:016x}"


async def ask_one(town: Town, n: int, kind: str = "book", **changes: object) -> tuple[int, str, bytes]:
    return await (await Sidecar(town).open()).ask(Sidecar.ticket(ident(n), kind, **changes))


def test_a_request_completes_with_its_own_result_and_the_spare_capacity() -> None:
    async def scene(town: Town) -> None:
        side = await Sidecar(town).open()
        for n, kind in enumerate(("book", "look", "pay")):
            status, head, body = await side.ask(Sidecar.ticket(ident(n), kind, bytes(range(256))))
            assert status == 200 and body == town.farm.result(ident(n)) and "close" not in head
            assert town.farm.bodies[ident(n)] == bytes(range(256))
        assert town.farm.replies[ident(1)] == b"reply to call:" + ident(1).encode()
        assert f"Parent-Call: {ident(1)}\r\n" in town.below.heard[0][0]
        await town.until(lambda: town.backend.front.spare_capacity is not None)
        status, head, _ = await side.ask(b"GET /ping HTTP/1.1\r\nHost: s\r\n\r\n")
        assert status == 200 and "X-Capacity: " in head
        assert (await side.ask(b"GET /ping?engine=1 HTTP/1.1\r\nHost: s\r\n\r\n"))[0] == 200
        town.check()

    play_in(Town(), scene)


@pytest.mark.parametrize("seed", range(6))
def test_the_rules_hold_under_random_faults_of_all_parties(seed: int) -> None:
    """Connections are cut, calls rejected, lost and corrupted, the control plane is down."""
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
        await town.until(lambda: town.farm.links > 1 and not town.backend.dispatcher.open_requests)
        town.check()
        assert town.counts["had"] == 200
        assert (
            town.backend.dispatcher.commands.last_notice == len(town.farm.notices)
            and not town.counts["notices_missed"]
        )

    play_in(Town(), scene)


def test_commands_issued_while_the_worker_agent_is_disconnected_are_carried_out_once() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        held = asyncio.create_task(ask_one(town, 1))
        await town.until(lambda: ident(1) in town.farm.running)
        town.farm.cut()
        town.farm.end(ident(1), "OK")  # happens while disconnected
        second = asyncio.create_task(ask_one(town, 2, "look"))
        await town.until(lambda: ident(2) in town.farm.running)
        assert (await held)[0] == 200
        town.farm.go_on(ident(2))
        assert (await second)[0] == 200
        assert town.farm.begun == {ident(1): 1, ident(2): 1}
        await town.until(lambda: not town.backend.dispatcher.commands.unacknowledged)  # removed by a sample
        town.check()

    play_in(Town(), scene)


def test_deadlines_are_kept_without_gauges_and_without_a_connection() -> None:
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


def test_periodic_checks_continue_by_timer_without_gauges_or_notices() -> None:
    """If a timer fires early, the decision module considers it still set and would never request another."""

    async def scene(town: Town) -> None:
        dispatcher, turns = town.backend.dispatcher, []
        turn = dispatcher.manager.decide
        dispatcher.manager.decide = lambda now: turns.append(now) or turn(now)
        dispatcher.commands.sample = lambda: False
        town.farm.hold = True
        asked = asyncio.create_task(ask_one(town, 1, left=2500))
        assert (await asked)[0] == 500 and len(turns) > 10

    play_in(Town(), scene)


def test_a_silent_agent_connection_is_reopened() -> None:
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


def test_before_the_worker_agent_is_up_requests_and_health_checks_are_rejected() -> None:
    async def scene(town: Town) -> None:
        assert (await (await Sidecar(town).open()).ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 503
        assert (await ask_one(town, 1))[0] == 503
        assert not town.control.heard
        await town.until(lambda: town.farm.writer is not None)
        town.farm.greet = b"greeting COLD 1000\r\n"
        town.farm.writer.write(town.farm.greet)
        await town.until(lambda: town.backend.front.ready)
        manager = town.backend.dispatcher.manager
        assert manager.facts.cold and 900_000 < town.backend.dispatcher.now() - manager.started < 30_000_000
        await town.until(lambda: town.backend.dispatcher.commands.synchronized)
        assert (await ask_one(town, 2))[0] == 200

    town = Town()
    town.farm.greet = b""
    play_in(town, scene)


def test_a_full_log_pipe_drops_lines_and_reports_it() -> None:
    read, write = os.pipe()
    log = Log("n1", write)
    for _ in range(100):
        log.write("filled", text="x" * 3000)
    assert log.lost_lines
    os.set_blocking(read, False)
    while len(os.read(read, 1 << 20)) == 1 << 20:
        pass
    log.write("after", trace="y" * 9000)
    line = json.loads(os.read(read, 1 << 20))
    assert (
        line["lines_lost"] > 0
        and line["event"] == "after"
        and line["trace"].endswith("y")
        and not log.lost_lines
    )
    log.write("odd", why="no Unicode: \udc80", count=3)
    line = json.loads(os.read(read, 1 << 20))
    assert line["event"] == "'odd'" and line["why"] == r"'no Unicode: \udc80'" and line["count"] == 3
    os.close(read)
    log.write("nobody reads")
    os.close(write)


def test_an_invalid_agent_line_closes_the_connection() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        asked = asyncio.create_task(ask_one(town, 1))
        await town.until(lambda: ident(1) in town.farm.running)
        town.farm.writer.write(b"no such notice\r\n")
        await town.until(lambda: town.farm.links > 1)
        town.farm.go_on(ident(1))
        assert (await asked)[0] == 200
        town.farm.note(f"outcome {{}} {ident(1)} OK 3 0", b"")  # a notice for a closed request
        town.farm.hold = False
        assert (await ask_one(town, 2))[0] == 200
        town.check()

    play_in(Town(), scene)


def test_downstream_calls_reuse_connections_and_distinguish_never_run_from_unsure() -> None:
    async def scene(town: Town) -> None:
        for n in range(3):
            assert (await ask_one(town, n, "look"))[0] == 200
        assert town.below.links == 1
        town.below.answers += [reply(503, b"", "Turned-Away: 1\r\n")]
        assert (await ask_one(town, 3, "look"))[0] == 200 and town.counts["call_never_ran"] == 1
        town.below.answers += ["break"]  # after the request was read, so the call may have run
        assert (await ask_one(town, 4, "look"))[0] == 200 and town.counts["call_unsure"] == 1
        town.servers[1].close()
        town.backend.dispatcher.calls.exchanges.close()
        assert (await ask_one(town, 5, "look", left=900))[0] == 500
        assert town.counts["call_never_ran"] > 1 and town.counts["call_unsure"] == 1

    play_in(Town(), scene)


def test_a_run_that_ends_cancels_its_call() -> None:
    async def scene(town: Town) -> None:
        town.below.answers += ["hang"]
        asked = asyncio.create_task(ask_one(town, 1, "look"))
        await town.until(lambda: len(town.below.heard) == 1)
        town.farm.end(ident(1), "ERROR")
        assert (await asked)[0] == 500
        await town.until(lambda: town.backend.dispatcher.calls.exchanges.open == 0)
        town.check()

    play_in(Town(), scene)


def test_bad_input_never_reaches_the_decision_module() -> None:
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
        assert await wrong.reader.read() == b""  # and nothing after it
        slow = await Sidecar(town).open()
        slow.writer.write(Sidecar.ticket(ident(5))[:-1])
        assert (await ask_one(town, 6))[0] == 200
        slow.writer.write_eof()
        assert (await slow.answer())[0] == 400 and await slow.reader.read() == b""
        slower = await Sidecar(town).open()
        town.backend.listener.request_timeout = 0.01
        slower.writer.write(Sidecar.ticket(ident(7))[:-1])
        assert (await slower.answer())[0] == 400 and await slower.reader.read() == b""
        assert town.counts["had"] == 3 and town.counts["bad_requests"] == 10
        town.check()

    play_in(Town(), scene)


def test_the_same_attempt_on_two_connections_runs_once_and_answers_both() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        asked = [asyncio.create_task(ask_one(town, 1, "pay")) for _ in range(2)]
        await town.until(lambda: town.counts["joined"] == 1 and ident(1) in town.farm.running)
        town.farm.go_on(ident(1))
        assert [status for status, _, _ in await asyncio.gather(*asked)] == [200, 200]
        assert (await ask_one(town, 1, "pay"))[0] == 500  # non-idempotent: it has run and is not run again
        town.check()

    play_in(Town(), scene)


def test_a_request_whose_connection_is_reset_is_no_longer_pending() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        side = await Sidecar(town).open()
        side.writer.write(Sidecar.ticket(ident(1)))
        await town.until(lambda: ident(1) in town.farm.running)
        side.writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, bytes([1] + [0] * 7)
        )
        side.writer.transport.abort()  # sends a reset
        await town.until(lambda: town.counts["gone"] == 1 and not town.backend.dispatcher.open_requests)
        town.check()

    play_in(Town(), scene)


def test_silent_and_invalid_clients_are_closed_and_leave_capacity_for_others() -> None:
    async def scene(town: Town) -> None:
        good, most = await Sidecar(town).open(), town.backend.listener.max_connections
        assert (await good.ask(Sidecar.ticket(ident(1))))[0] == 200
        silent = [await Sidecar(town).open() for _ in range(3 * most)]
        assert (await ask_one(town, 2))[0] == 200  # at once, despite the other clients
        assert len(town.backend.listener.connections) <= most
        assert (await good.ask(Sidecar.ticket(ident(3))))[
            0
        ] == 200  # connections with a complete request are evicted last
        for side in silent:
            assert await side.reader.read() == b""
        huge = await Sidecar(town).open()
        huge.writer.write(Sidecar.ticket(ident(4), body=b"x" * 60_000_000))
        assert (await huge.answer())[0] == 413
        dropped = town.backend.listener.connections.copy()
        with suppress(OSError):  # closed, or reset because of unread data
            assert await huge.reader.read() == b""
        await town.until(lambda: not dropped & town.backend.listener.connections)
        town.check()

    play_in(Town(sockets=96), scene)


def test_idle_connections_close_on_time_and_are_evicted_at_the_limit() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        most = town.backend.listener.max_connections
        busy = asyncio.create_task(ask_one(town, 1))
        sides = [await Sidecar(town).open() for _ in range(most + 5)]
        assert (await sides[-1].ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 200
        assert len(town.backend.listener.connections) <= most
        town.backend.idle(10_000)
        for side in sides:
            assert await side.reader.read() == b""
        town.farm.go_on(ident(1))
        assert (await busy)[0] == 200
        await town.until(lambda: not town.backend.listener.connections and not town.backend.pool.in_use - 1)
        town.check()

    play_in(Town(sockets=64), scene)


def test_a_connection_just_accepted_is_not_evicted_before_its_request_can_arrive() -> None:
    async def scene(town: Town) -> None:
        listener = town.backend.listener
        sides = [await Sidecar(town).open() for _ in range(listener.max_connections - listener.reserve)]
        for side in sides:  # all have sent a request less than a second ago
            assert (await side.ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 200
        held = set(listener.connections)
        late = await Sidecar(town).open()
        await town.until(lambda: any(connection.closing for connection in held))  # some were evicted
        assert (await late.ask(b"GET /ping HTTP/1.1\r\n\r\n"))[0] == 200
        town.check()

    play_in(Town(sockets=64), scene)


def test_a_request_unread_when_its_idle_connection_closes_is_answered() -> None:
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
