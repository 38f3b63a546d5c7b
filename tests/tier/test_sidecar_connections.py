"""Connection pools for sidecars: limits of idle connections, and resets of new connections."""

import asyncio
import socket
import time
from random import Random

import pytest
import uvloop

from crowwing.tier.front import sidecar_connections
from crowwing.tier.front.sidecar_connections import (
    IDLE_SHARE,
    MAX_FULL_BACKOFF_S,
    MIN_FULL_BACKOFF_S,
    MIN_OPEN_CONNECTIONS,
    ConnectionState,
    IdleConnections,
    connection_limits,
)
from crowwing.tier.front.upstream import (
    AttemptOutcome,
    Headers,
    NotExecuted,
    ResponseStarted,
    SidecarClient,
    close_after_answer,
    read_body,
)
from tests.tier.misbehaving_sidecar import RESET_ON_CLOSE

ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok"


class LimitedSidecar:
    """Accepts up to `cap` connections, and resets any other before it reads from it."""

    def __init__(self, cap: int) -> None:
        self.cap, self.open, self.resets, self.requests = cap, 0, 0, 0
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Starts to listen; returns the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stops listening."""
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.open >= self.cap:
            self.resets += 1
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
            return
        self.open += 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                name = head.lower().split(b"request-id: ")[1].split(b"\r\n")[0]
                writer.write(ANSWER % name)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            writer.close()


async def ask(client: SidecarClient, name: str) -> AttemptOutcome:
    headers: Headers = [(b"Host", b"h"), (b"Request-Id", name.encode()), (b"Content-Length", b"0")]
    return await client.send("POST", b"/p", headers, b"", name.encode())


async def finish(outcome: AttemptOutcome) -> bytes:
    assert isinstance(outcome, ResponseStarted), outcome
    body = b"".join([part async for part in read_body(outcome)])
    await close_after_answer(outcome.response)
    return body


def test_a_new_connection_that_is_reset_means_that_nothing_was_executed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        sidecar_connections, "MIN_CONNECT_DELAY_S", 0.05
    )  # the sidecar runs on the same busy machine
    monkeypatch.setattr(sidecar_connections, "MAX_CONNECT_DELAY_S", 0.05)

    async def play() -> None:
        sidecar = LimitedSidecar(1)
        address = await sidecar.start()
        first, second = ConnectionState(4), ConnectionState(4)
        holder, late = SidecarClient(address, first), SidecarClient(address, second)
        assert await finish(await ask(holder, "r1")) == b"ok"
        rejected = await ask(late, "r2")
        assert isinstance(rejected, NotExecuted) and rejected.no_connection
        assert sidecar.requests == 1, "nothing of the second request was read"
        assert second.open_count == 0 and not second.is_available(time.monotonic())
        assert await finish(await ask(holder, "r3")) == b"ok", "the first connection is still used"
        await holder.close()
        await late.close()
        sidecar.stop()

    uvloop.run(play())


def test_surplus_idle_connections_are_closed_least_recently_used_first() -> None:
    async def play() -> None:
        sidecars = [LimitedSidecar(9) for _ in range(4)]
        idle = IdleConnections(2)
        states = [ConnectionState(4) for _ in sidecars]
        clients = [
            SidecarClient(await sidecar.start(), state, idle)
            for sidecar, state in zip(sidecars, states, strict=True)
        ]
        for place, client in enumerate(clients):
            assert await finish(await ask(client, f"r{place}")) == b"ok"
        assert [len(state.idle) for state in states] == [0, 0, 1, 1]
        assert [state.open_count for state in states] == [0, 0, 1, 1]
        for client, sidecar in zip(clients, sidecars, strict=True):
            await client.close()
            sidecar.stop()

    uvloop.run(play())


def test_resets_of_new_connections_cause_a_growing_backoff() -> None:
    state = ConnectionState(4)
    pauses = []
    now = 0.0
    for _ in range(8):
        state.record_reset(now)
        pauses.append(state.full_until - now)
        assert not state.is_available(now)
        now = state.full_until
        assert state.is_available(now)
    assert pauses == pytest.approx([0.1, 0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6])
    assert (MIN_FULL_BACKOFF_S, MAX_FULL_BACKOFF_S) == (0.1, 1.6)
    state.record_accepted()
    state.record_reset(now)
    assert state.full_until - now == pytest.approx(MIN_FULL_BACKOFF_S)


@pytest.mark.parametrize("fronts", [3, 72, 3000])
@pytest.mark.parametrize(("accepted", "sidecars"), [(74, 36), (310, 5), (450, 30)])
def test_idle_connections_of_all_fronts_are_a_share_of_what_sidecars_accept(
    fronts: int, accepted: int, sidecars: int
) -> None:
    limits = connection_limits(accepted, sidecars, fronts)
    if limits.max_idle_total > MIN_OPEN_CONNECTIONS:
        assert fronts * limits.max_idle_total <= IDLE_SHARE * accepted * sidecars
    assert limits.max_open_each >= MIN_OPEN_CONNECTIONS and limits.max_idle_total >= MIN_OPEN_CONNECTIONS


@pytest.mark.parametrize("seed", range(20))
def test_idle_connections_of_72_fronts_stay_under_the_cap_of_each_sidecar(seed: int) -> None:
    """Random choice of sidecars spreads the idle connections evenly enough to leave some for requests."""
    random = Random(seed)
    limits = connection_limits(74, 36, 72)
    kept = [0] * 36
    for _ in range(72):
        for sidecar in random.choices(range(36), k=limits.max_idle_total):
            kept[sidecar] += 1
    assert max(kept) <= 74 - 12, "connections are left for the slots of the sidecar"
