"""A simulated TCP network: delays, bandwidth, cuts of several kinds, ends of processes, losses of power."""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from contextvars import Context
from dataclasses import dataclass, field
from random import Random
from typing import Any

from crowwing.tier.wire.network import Accept
from tests.tier.simulation.loop import Life, SimulatedLoop

DELAY_S = (0.0005, 0.003)
RETRANSMIT_S = (0.2, 0.4)  # what a lost packet costs
USER_TIMEOUT_S = 1.5  # unacknowledged bytes end a connection, as the program's socket option asks


@dataclass(eq=False)
class Endpoint:
    """One side of a connection."""

    network: "SimulatedNetwork"
    life: Life
    reader: asyncio.StreamReader
    peer: "Endpoint" = field(init=False, repr=False)
    closed: bool = False
    sent: deque[tuple[float, bytes]] = field(default_factory=deque)  # with the times of arrival
    arrives: float = 0.0
    free_at: float = 0.0  # when what was written before has been sent, at a bounded bandwidth
    unacknowledged_since: float | None = None

    # What asyncio.StreamWriter offers, as far as connections use it

    @property
    def transport(self) -> "Endpoint":
        """Itself."""
        return self

    def get_extra_info(self, name: str) -> Any:  # noqa: ANN401
        """The far side's address; there is no socket."""
        return (self.peer.life.host, 0) if name == "peername" else None

    def get_write_buffer_size(self) -> int:
        """Bytes that the far side has not got yet."""
        return sum(len(data) for _, data in self.sent)

    def write(self, data: bytes) -> None:
        """Sends bytes."""
        if not self.closed:
            self.network.send(self, bytes(data))

    def abort(self) -> None:
        """Resets the connection."""
        if not self.closed:
            self.closed = True
            self.network.reset_peer(self)

    # What the network does to it

    def fail(self, error: Exception) -> None:
        """The connection has ended for this side."""
        if not self.closed:
            self.closed = True
            if self.reader.exception() is None:
                self.reader.set_exception(error)


class SimulatedNetwork:
    """All connections between all machines."""

    def __init__(self, loop: SimulatedLoop, random: Random) -> None:
        self._loop, self._random = loop, random
        self._listeners: dict[tuple[str, int], tuple[Life, Accept]] = {}
        self._endpoints: list[Endpoint] = []
        self.cut: set[tuple[str, str]] = set()  # (from, to): nothing arrives
        self.refusing: set[tuple[str, str]] = set()  # cut as above, and new connections are reset
        self.dark: set[str] = set()  # without power
        self.loss = 0.0  # share of messages that have to be sent again
        self.bytes_per_s = math.inf  # of each connection
        self.bytes_sent: dict[str, int] = {}

    # Connections

    async def connect(self, life: Life, host: str, port: int) -> tuple[asyncio.StreamReader, Endpoint]:
        """Opens a connection; hangs where nobody can answer."""
        await asyncio.sleep(self._delay(0))
        while self._is_cut(life.host, host) or host in self.dark:
            if (life.host, host) in self.refusing:
                raise ConnectionRefusedError(f"{host}:{port}")
            await asyncio.sleep(0.2)
        await asyncio.sleep(self._delay(0))
        listener = self._listeners.get((host, port))
        if listener is None or listener[0].ended:
            raise ConnectionRefusedError(f"{host}:{port}")
        far_life, accept = listener
        near = Endpoint(self, life, asyncio.StreamReader(loop=self._loop))
        far = Endpoint(self, far_life, asyncio.StreamReader(loop=self._loop))
        near.peer, far.peer = far, near
        self._endpoints += [near, far]
        context = far_life.context.copy()
        self._loop.call_soon(self._accept, accept, far, context=context)
        return near.reader, near

    def _accept(self, accept: Accept, endpoint: Endpoint) -> None:
        self._loop.create_task(accept(endpoint.reader, endpoint))  # type: ignore[arg-type]

    def listen(self, life: Life, host: str, port: int, accept: Accept) -> "Listening":
        """Accepts connections for a life."""
        self._listeners[host, port] = (life, accept)
        return Listening(self, host, port)

    def stop_listening(self, host: str, port: int) -> None:
        """New connections are refused."""
        self._listeners.pop((host, port), None)

    # Bytes

    def _delay(self, size: int) -> float:
        delay = self._random.uniform(*DELAY_S)
        if self.loss and self._random.random() < self.loss:
            delay += self._random.uniform(*RETRANSMIT_S)
        return delay

    def _is_cut(self, a: str, b: str) -> bool:
        return (a, b) in self.cut or (b, a) in self.cut

    def send(self, sender: Endpoint, data: bytes) -> None:
        """Puts bytes on their way."""
        near = sender.life.host
        now = self._loop.time()
        arrives = now + self._delay(len(data))
        if self.bytes_per_s < math.inf:
            sender.free_at = max(now, sender.free_at) + len(data) / self.bytes_per_s
            arrives = max(arrives, sender.free_at)
        sender.arrives = max(sender.arrives, arrives)
        sender.sent.append((sender.arrives, data))
        self.bytes_sent[near] = self.bytes_sent.get(near, 0) + len(data)
        self._loop.call_at(sender.arrives, self._deliver, sender, context=Context())
        if sender.unacknowledged_since is None:
            sender.unacknowledged_since = now
            self._watch(sender)

    def _watch(self, sender: Endpoint) -> None:
        at = self._loop.time() + USER_TIMEOUT_S
        self._loop.call_at(
            at, self._check_acknowledged, sender, sender.unacknowledged_since, context=Context()
        )

    def _check_acknowledged(self, sender: Endpoint, since: float) -> None:
        if sender.closed or sender.unacknowledged_since is None:
            return
        if sender.unacknowledged_since == since and self._is_unreachable(sender):
            sender.sent.clear()
            self._in_life(sender, sender.fail, TimeoutError("not acknowledged"))
        else:
            self._watch(sender)

    def _is_unreachable(self, sender: Endpoint) -> bool:
        near, far = sender.life.host, sender.peer.life.host
        return self._is_cut(near, far) or far in self.dark

    def _deliver(self, sender: Endpoint) -> None:
        near, far = sender.life.host, sender.peer.life.host
        now = self._loop.time()
        while sender.sent and sender.sent[0][0] <= now:
            if (near, far) in self.cut or far in self.dark:
                return  # held up until the cut has healed
            _, data = sender.sent.popleft()
            receiver = sender.peer
            if receiver.life.ended or receiver.closed:
                self._reset_later(sender)
                return
            self._in_life(receiver, receiver.reader.feed_data, data)
        if not sender.sent and not self._is_cut(near, far):
            sender.unacknowledged_since = None

    def _in_life(self, endpoint: Endpoint, work: Callable[..., None], *arguments: Any) -> None:  # noqa: ANN401
        if not endpoint.life.ended:
            self._loop.call_soon(self._do, endpoint, work, arguments, context=endpoint.life.context)

    @staticmethod
    def _do(endpoint: Endpoint, work: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        if not endpoint.closed and not (endpoint.reader.at_eof() or endpoint.reader.exception()):
            work(*arguments)

    def _reset_later(self, endpoint: Endpoint) -> None:
        delay = self._random.uniform(*DELAY_S)
        self._loop.call_at(self._loop.time() + delay, self._reset, endpoint, context=Context())

    def _reset(self, endpoint: Endpoint) -> None:
        near, far = endpoint.life.host, endpoint.peer.life.host
        if (far, near) not in self.cut and not endpoint.closed:
            endpoint.sent.clear()
            self._in_life(endpoint, endpoint.fail, ConnectionResetError("reset"))

    def reset_peer(self, endpoint: Endpoint) -> None:
        """A side has gone; the other one learns of it, unless the way is cut."""
        endpoint.sent.clear()
        self._reset_later(endpoint.peer)

    # Faults

    def cut_link(self, a: str, b: str, refuse: bool = False, reset: bool = False) -> None:
        """Nothing from a arrives at b any more."""
        self.cut.add((a, b))
        if refuse:
            self.refusing |= {(a, b), (b, a)}
        if reset:
            for endpoint in self._endpoints:
                if {endpoint.life.host, endpoint.peer.life.host} == {a, b}:
                    endpoint.sent.clear()
                    self._in_life(endpoint, endpoint.fail, ConnectionResetError("cut"))

    def heal(self) -> None:
        """All cuts end; what they held up arrives."""
        self.cut.clear()
        self.refusing.clear()
        for endpoint in self._endpoints:
            if endpoint.sent and not endpoint.closed:
                self._loop.call_soon(self._deliver, endpoint, context=Context())

    def reset_connections(self, host: str, share: float) -> None:
        """Some of a machine's connections are reset."""
        for endpoint in list(self._endpoints):
            if endpoint.life.host == host and not endpoint.closed and self._random.random() < share:
                self._in_life(endpoint, endpoint.fail, ConnectionResetError("reset"))
                self._in_life(endpoint.peer, endpoint.peer.fail, ConnectionResetError("reset"))

    def end_life(self, life: Life, power: bool) -> None:
        """A process has ended: its far sides are reset, or hear nothing where the power is gone."""
        for key in [key for key, (owner, _) in self._listeners.items() if owner is life]:
            del self._listeners[key]
        for endpoint in self._endpoints:
            if endpoint.life is life and not endpoint.closed:
                endpoint.closed = True
                endpoint.sent.clear()
                if not power:
                    self._reset_later(endpoint.peer)
        self._endpoints = [one for one in self._endpoints if not (one.life.ended and one.peer.life.ended)]


@dataclass
class Listening:
    """A listener that can be closed."""

    network: SimulatedNetwork
    host: str
    port: int

    def close(self) -> None:
        """New connections are refused."""
        self.network.stop_listening(self.host, self.port)


class LifeNetwork:
    """The network as one life uses it (crowwing.tier.wire.network.Network)."""

    def __init__(self, network: SimulatedNetwork, life: Life) -> None:
        self._network, self._life = network, life

    async def connect(self, host: str, port: int) -> tuple[asyncio.StreamReader, Any]:
        """Opens a connection."""
        return await self._network.connect(self._life, host, port)

    async def listen(self, host: str, port: int, accept: Accept) -> Listening:
        """Accepts connections."""
        return self._network.listen(self._life, host, port, accept)
