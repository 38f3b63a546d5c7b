"""Messages of other parties: cut at any byte, in single bytes, repeated, late, on an old connection."""

import asyncio

import pytest

from tests.parties import FarmAgent, reply
from tests.rig import SETTINGS, Town, play_in
from tests.test_program import ask_one, ident


async def run_request(town: Town, n: int, kind: str = "book") -> asyncio.Task:
    town.farm.hold = True
    asked = asyncio.create_task(ask_one(town, n, kind))
    await town.until(lambda: ident(n) in town.farm.running)
    return asked


def outcome(town: Town, n: int) -> bytes:
    """The notice that a run has ended, recorded but not sent."""
    writer, town.farm.writer = town.farm.writer, None
    town.farm.end(ident(n), "OK")
    town.farm.writer = writer
    return town.farm.notices[-1]


def test_a_notice_cut_at_any_byte_is_read_on_the_next_connection() -> None:
    async def scene(town: Town) -> None:
        n = size = 0
        while n <= size:
            asked = await run_request(town, n)
            notice = outcome(town, n)
            size = len(notice)
            town.farm.writer.write(notice[:n])
            await town.farm.writer.drain()
            town.farm.writer.close()  # after the bytes are sent
            status, _, body = await asked
            assert status == 200 and body == town.farm.result(ident(n)) and town.farm.begun[ident(n)] == 1
            n += 1
        assert n > 60 and town.farm.links > n - 1 and not town.counts["notices_missed"]
        assert all(times == 1 for times in town.farm.begun.values())
        await town.until(lambda: not town.backend.dispatcher.open_requests)

    play_in(Town(), scene)


def test_notices_in_single_bytes_repeated_or_of_a_closed_request_count_once() -> None:
    async def scene(town: Town) -> None:
        for n in range(8):
            asked = await run_request(town, n)
            notice = outcome(town, n)
            town.farm.mute = True  # no sample between the bytes
            for byte in notice:
                town.farm.writer.write(bytes([byte]))
                await asyncio.sleep(0)
            town.farm.writer.write(notice * 2)
            town.farm.mute = False
            assert (await asked)[0] == 200
        assert (
            town.backend.dispatcher.commands.last_notice == len(town.farm.notices)
            and not town.counts["notices_missed"]
        )
        town.check()

    play_in(Town(), scene)


def test_notices_unread_on_a_closed_connection_and_repeated_on_the_next_count_once() -> None:
    async def scene(town: Town) -> None:
        asked = await run_request(town, 1)
        notice = outcome(town, 1)
        town.farm.writer.write(notice)
        await town.farm.writer.drain()
        town.backend.dispatcher.commands.link.reconnect()
        await town.until(lambda: town.farm.links == 2 and town.backend.dispatcher.commands.synchronized)
        town.farm.writer.write(notice)
        assert (await asked)[0] == 200
        assert town.backend.dispatcher.commands.last_notice == 1 and town.counts["settled"] == 1
        town.check()

    play_in(Town(), scene)


WHOLE = reply(200, b"the reply of the back end", "Date: now\r\n")


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_a_downstream_reply_cut_at_any_byte_is_unsure_and_retried_only_if_idempotent(kind: str) -> None:
    settings = SETTINGS | {"lanes": [SETTINGS["lanes"][0] | {"semantics": kind}, *SETTINGS["lanes"][1:]]}

    async def one(town: Town, cut: int) -> None:
        sent: list[str] = []

        def broken(head: str, body: bytes) -> bytes | str:
            first = f"Parent-Call: {ident(cut)}\r\n" in head and ident(cut) not in sent
            sent.append(ident(cut))
            return (WHOLE[:cut], "break") if first else WHOLE

        town.below.usual = broken
        status, _, _ = await ask_one(town, cut, "look")
        calls = sum(f"Parent-Call: {ident(cut)}\r\n" in head for head, _ in town.below.heard)
        assert (status, calls) == ((200, 2) if kind == "safe" else (500, 1)), cut
        assert town.farm.begun[ident(cut)] == 1

    async def scene(town: Town) -> None:
        for cut in range(len(WHOLE)):
            await one(town, cut)
        assert town.counts["call_unsure"] == len(WHOLE)
        await town.until(
            lambda: not town.backend.dispatcher.open_requests
        )  # its run ends because the call is not made
        town.check()

    play_in(Town(settings), scene)


def test_downstream_replies_in_single_bytes_and_for_a_run_that_has_ended() -> None:
    async def scene(town: Town) -> None:
        town.below.usual = lambda head, body: "hang"
        slow = asyncio.create_task(ask_one(town, 1, "look"))
        await town.until(lambda: len(town.below.heard) == 1)
        (writer,) = town.below.open
        for byte in WHOLE:
            writer.write(bytes([byte]))
            await asyncio.sleep(0)
        assert (await slow)[0] == 200
        late = asyncio.create_task(ask_one(town, 2, "look"))
        await town.until(lambda: len(town.below.heard) == 2)
        town.farm.end(ident(2), "ERROR")
        assert (await late)[0] == 500
        writer.write(WHOLE)  # its connection is closed, so no other call can receive this reply
        town.below.usual = lambda head, body: reply(200, b"its own")
        assert (await ask_one(town, 3, "look"))[0] == 200
        assert town.farm.replies[ident(3)] == b"its own" and ident(2) not in town.farm.replies
        town.check()

    play_in(Town(), scene)


def test_an_idle_connection_that_closed_or_received_data_is_not_reused() -> None:
    async def scene(town: Town) -> None:
        town.below.usual = lambda head, body: WHOLE
        assert (await ask_one(town, 1, "look"))[0] == 200
        (writer,) = town.below.open
        writer.write(reply(200, b"of nobody"))  # unread on the idle connection
        spare = next(iter(town.backend.dispatcher.calls.exchanges.idle_connections))
        await town.until(lambda: readable(spare))
        assert (await ask_one(town, 2, "look"))[0] == 200
        assert town.farm.replies[ident(2)] == b"the reply of the back end" and town.below.links == 2
        for other in list(town.below.open):
            other.transport.abort()  # the idle connection receives a reset
        spare = next(iter(town.backend.dispatcher.calls.exchanges.idle_connections))
        await town.until(lambda: readable(spare))
        assert (await ask_one(town, 3, "look"))[0] == 200
        assert town.below.links == 3 and not town.counts["call_unsure"]
        town.check()

    play_in(Town(), scene)


def readable(sock: object) -> bool:
    import select

    return bool(select.select([sock], [], [], 0)[0])


def test_an_idle_connection_reset_between_check_and_write_makes_its_call_unsure() -> None:
    """This reset cannot be distinguished from one after the call has run."""

    async def scene(town: Town) -> None:
        exchanges = town.backend.dispatcher.calls.exchanges
        assert (await ask_one(town, 1, "look"))[0] == 200
        take = exchanges._take_idle

        def dying() -> object:
            sock = take()
            if sock is not None:
                exchanges._take_idle = take
                for other in list(town.below.open):
                    other.get_extra_info("socket").setsockopt(1, 13, bytes([1] + [0] * 7))  # SO_LINGER: reset
                    other.transport.abort()
            return sock

        exchanges._take_idle = dying
        pays = SETTINGS["lanes"][0]["semantics"] == "unsafe"
        assert (await ask_one(town, 2, "look"))[0] == (500 if pays else 200)
        assert town.counts["call_unsure"] == 1 and exchanges.open <= 1
        town.check()

    play_in(Town(), scene)


GOOD = b"HTTP/1.1 204 So\r\nDate: now\r\n\r\n"


def test_a_control_plane_reply_cut_at_any_byte_is_no_acknowledgement() -> None:
    async def scene(town: Town) -> None:
        await town.until(lambda: len(town.control.heard) >= 1)
        for cut in range(0, len(GOOD), 3):
            more = len(town.control.heard) + 2
            town.control.answers.append((GOOD[:cut], "break"))
            town.backend.ready(bool(cut % 2))
            await town.until(lambda more=more: not town.control.answers and len(town.control.heard) >= more)
            want = b'{"condition":"Ready"}' if cut % 2 else b'{"condition":"NotReady"}'
            assert town.control.heard[-1][1] == want
        assert town.backend.reporter.exchanges.open <= 2
        assert not town.counts["defects"]

    play_in(Town(), scene)


@pytest.mark.parametrize("moved", ["connecting", "calling"])
def test_an_address_change_during_a_call_leaves_the_call_complete(moved: str) -> None:
    async def scene(town: Town) -> None:
        exchanges = town.backend.dispatcher.calls.exchanges
        town.below.usual = lambda head, body: "hang"
        old = exchanges.address
        if moved == "connecting":
            connect = exchanges._connect

            async def moving() -> object:
                sock = await connect()
                exchanges.set_address(("127.0.0.1", 9))
                return sock

            exchanges._connect = moving
        asked = asyncio.create_task(ask_one(town, 1, "look"))
        await town.until(lambda: len(town.below.heard) == 1)
        exchanges.set_address(("127.0.0.1", 9))
        (writer,) = town.below.open
        writer.write(WHOLE)
        assert (await asked)[0] == 200
        assert not exchanges.idle_connections, "an idle connection to the old address is left"
        await town.until(lambda: exchanges.open == 0)
        exchanges.set_address(old)
        town.check()

    play_in(Town(), scene)


def test_an_agent_address_change_while_connecting_sends_nothing_to_the_old_address() -> None:
    async def scene(town: Town) -> None:
        link, loop = town.backend.dispatcher.commands.link, town.backend.loop
        moved: list[tuple] = []

        class Moving:
            """An event loop that changes the address of the agent when a connection is established."""

            def __getattr__(self, name: str) -> object:
                return getattr(loop, name)

            async def sock_connect(self, sock: object, address: tuple) -> None:
                await loop.sock_connect(sock, address)
                if not moved:
                    moved.append(address)
                    link.set_address(town.servers[0].sockets[0].getsockname())

        silent = FarmAgent()
        other = await asyncio.start_server(silent.serve, "127.0.0.1", 0)
        link.loop = Moving()
        asked = await run_request(town, 1)
        link.set_address(other.sockets[0].getsockname())
        await town.until(lambda: town.farm.links == 2 and town.backend.dispatcher.commands.synchronized)
        assert moved == [other.sockets[0].getsockname()] and silent.writer is None
        # Sent again and acknowledged before the run ends, as a repeated launch may cross the end of its run.
        await town.until(lambda: not town.backend.dispatcher.commands.unacknowledged)
        town.farm.go_on(ident(1))
        assert (await asked)[0] == 200 and town.farm.begun == {ident(1): 1}
        other.close()
        town.check()

    play_in(Town(), scene)
