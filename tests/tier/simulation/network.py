"""A simulated TCP network: delays, bandwidth, partitions, ends of processes, losses of power."""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from contextvars import Context
from dataclasses import dataclass, field
from random import Random
from typing import Any

from crowwing.tier.wire.network import Accept
from tests.tier.simulation.loop import Incarnation, SimulatedLoop

DELAY_S = (0.0005, 0.003)
RETRANSMIT_S = (0.2, 0.4)  # delay that a lost packet adds
USER_TIMEOUT_S = 1.5  # unacknowledged bytes end a connection, as the program's socket option asks


@dataclass(eq=False)
class Endpoint:
    """One side of a connection."""

    network: "SimulatedNetwork"
    incarnation: Incarnation
    reader: asyncio.StreamReader
    peer: "Endpoint" = field(init=False, repr=False)
    closed: bool = False
    queued: deque[bytes] = field(default_factory=deque)  # waits for the machine's uplink
    sent: deque[tuple[float, bytes]] = field(default_factory=deque)  # with the times of arrival
    arrives: float = 0.0
    free_at: float = 0.0  # when earlier writes have been sent, with bounded bandwidth
    unacknowledged_since: float | None = None

    # The part of asyncio.StreamWriter's interface that connections use

    @property
    def transport(self) -> "Endpoint":
        """Itself."""
        return self

    def get_extra_info(self, name: str) -> Any:  # noqa: ANN401
        """The peer's address; there is no socket."""
        return (self.peer.incarnation.host, 0) if name == "peername" else None

    def get_write_buffer_size(self) -> int:
        """Bytes that the peer has not received yet, whether sent or queued."""
        return sum(map(len, self.queued)) + sum(len(data) for _, data in self.sent)

    def write(self, data: bytes) -> None:
        """Sends bytes."""
        if not self.closed:
            self.network.send(self, bytes(data))

    def abort(self) -> None:
        """Resets the connection."""
        if not self.closed:
            self.closed = True
            self.network.reset_peer(self)

    # Called by the network

    def discard(self) -> None:
        """Discards bytes that the peer has not received yet."""
        self.queued.clear()
        self.sent.clear()

    def fail(self, error: Exception) -> None:
        """The connection has ended for this side."""
        if not self.closed:
            self.closed = True
            if self.reader.exception() is None:
                self.reader.set_exception(error)


class Uplink:
    """The link that all connections of a machine share; sends in the order of the writes."""

    def __init__(
        self, loop: SimulatedLoop, bytes_per_s: float, transmit: Callable[[Endpoint, bytes], None]
    ) -> None:
        """An idle link; `transmit` receives bytes that have left the machine."""
        self._loop, self._bytes_per_s, self._transmit = loop, bytes_per_s, transmit
        self._queue: deque[Endpoint] = deque()  # one entry per write; the first is being sent
        self._is_busy = False

    @property
    def queued_bytes(self) -> int:
        """Bytes that have not left the machine."""
        return sum(len(data) for endpoint in set(self._queue) for data in endpoint.queued)

    @property
    def wait_s(self) -> float:
        """Time until the newest byte has left the machine."""
        return self.queued_bytes / self._bytes_per_s

    def send(self, sender: Endpoint, data: bytes) -> None:
        """Queues bytes behind all that was written before."""
        sender.queued.append(data)
        self._queue.append(sender)
        if not self._is_busy:
            self._begin_next()

    def _begin_next(self) -> None:
        while self._queue and not self._queue[0].queued:  # its connection has been reset
            self._queue.popleft()
        self._is_busy = bool(self._queue)
        if self._is_busy:
            span_s = len(self._queue[0].queued[0]) / self._bytes_per_s
            self._loop.call_at(self._loop.time() + span_s, self._finish_first, context=Context())

    def _finish_first(self) -> None:
        sender = self._queue.popleft()
        if sender.queued:
            self._transmit(sender, sender.queued.popleft())
        self._begin_next()


class SimulatedNetwork:
    """All connections between all machines."""

    def __init__(self, loop: SimulatedLoop, random: Random) -> None:
        self._loop, self._random = loop, random
        self._listeners: dict[tuple[str, int], tuple[Incarnation, Accept]] = {}
        self._endpoints: list[Endpoint] = []
        self.partitioned_links: set[tuple[str, str]] = set()  # (from, to): nothing arrives
        self.refused_links: set[tuple[str, str]] = (
            set()
        )  # partitioned as above, and new connections are refused
        self.powered_off: set[str] = set()  # without power
        self.loss = 0.0  # share of messages that have to be sent again
        self.bytes_per_s = math.inf  # of each connection
        self.uplink_bytes_per_s = math.inf  # of each machine, over all its connections
        self._uplinks: dict[str, Uplink] = {}
        self.bytes_sent: dict[str, int] = {}

    # Connections

    async def connect(
        self, incarnation: Incarnation, host: str, port: int
    ) -> tuple[asyncio.StreamReader, Endpoint]:
        """Opens a connection; hangs if the host is unreachable."""
        await asyncio.sleep(self._delay())
        while self._is_partitioned(incarnation.host, host) or host in self.powered_off:
            if (incarnation.host, host) in self.refused_links:
                raise ConnectionRefusedError(f"{host}:{port}")
            await asyncio.sleep(0.2)
        await asyncio.sleep(self._delay())
        listener = self._listeners.get((host, port))
        if listener is None or listener[0].ended:
            raise ConnectionRefusedError(f"{host}:{port}")
        far_incarnation, accept = listener
        near = Endpoint(self, incarnation, asyncio.StreamReader(loop=self._loop))
        far = Endpoint(self, far_incarnation, asyncio.StreamReader(loop=self._loop))
        near.peer, far.peer = far, near
        self._endpoints += [near, far]
        context = far_incarnation.context.copy()
        self._loop.call_soon(self._accept, accept, far, context=context)
        return near.reader, near

    def _accept(self, accept: Accept, endpoint: Endpoint) -> None:
        self._loop.create_task(accept(endpoint.reader, endpoint))  # type: ignore[arg-type]

    def listen(self, incarnation: Incarnation, host: str, port: int, accept: Accept) -> "Listening":
        """Accepts connections for an incarnation."""
        self._listeners[host, port] = (incarnation, accept)
        return Listening(self, host, port)

    def stop_listening(self, host: str, port: int) -> None:
        """New connections are refused."""
        self._listeners.pop((host, port), None)

    # Bytes

    def _delay(self) -> float:
        delay = self._random.uniform(*DELAY_S)
        if self.loss and self._random.random() < self.loss:
            delay += self._random.uniform(*RETRANSMIT_S)
        return delay

    def _is_partitioned(self, a: str, b: str) -> bool:
        return (a, b) in self.partitioned_links or (b, a) in self.partitioned_links

    def uplink(self, host: str) -> Uplink:
        """A machine's link; its rate is fixed at the first use."""
        if host not in self._uplinks:
            self._uplinks[host] = Uplink(self._loop, self.uplink_bytes_per_s, self._transmit)
        return self._uplinks[host]

    def send(self, sender: Endpoint, data: bytes) -> None:
        """Sends bytes; with a bounded uplink they queue behind earlier writes of the machine."""
        if self.uplink_bytes_per_s < math.inf:
            self.uplink(sender.incarnation.host).send(sender, data)
        else:
            self._transmit(sender, data)

    def _transmit(self, sender: Endpoint, data: bytes) -> None:
        """Puts bytes that have left the machine on the network."""
        near = sender.incarnation.host
        now = self._loop.time()
        arrives = now + self._delay()
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

    def _check_acknowledged(self, sender: Endpoint, since: float | None) -> None:
        if sender.closed or sender.unacknowledged_since is None:
            return
        if sender.unacknowledged_since == since and self._is_unreachable(sender):
            sender.discard()
            self._call_in_incarnation(sender, sender.fail, TimeoutError("not acknowledged"))
        else:
            self._watch(sender)

    def _is_unreachable(self, sender: Endpoint) -> bool:
        near, far = sender.incarnation.host, sender.peer.incarnation.host
        return self._is_partitioned(near, far) or far in self.powered_off

    def _deliver(self, sender: Endpoint) -> None:
        near, far = sender.incarnation.host, sender.peer.incarnation.host
        now = self._loop.time()
        while sender.sent and sender.sent[0][0] <= now:
            if (near, far) in self.partitioned_links or far in self.powered_off:
                return  # delayed until the partition has healed
            _, data = sender.sent.popleft()
            receiver = sender.peer
            if receiver.incarnation.ended or receiver.closed:
                self._reset_later(sender)
                return
            self._call_in_incarnation(receiver, receiver.reader.feed_data, data)
        if not sender.sent and not self._is_partitioned(near, far):
            sender.unacknowledged_since = None

    def _call_in_incarnation(self, endpoint: Endpoint, work: Callable[..., None], *arguments: Any) -> None:  # noqa: ANN401
        if not endpoint.incarnation.ended:
            self._loop.call_soon(self._do, endpoint, work, arguments, context=endpoint.incarnation.context)

    @staticmethod
    def _do(endpoint: Endpoint, work: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        if not endpoint.closed and not (endpoint.reader.at_eof() or endpoint.reader.exception()):
            work(*arguments)

    def _reset_later(self, endpoint: Endpoint) -> None:
        delay = self._random.uniform(*DELAY_S)
        self._loop.call_at(self._loop.time() + delay, self._reset, endpoint, context=Context())

    def _reset(self, endpoint: Endpoint) -> None:
        near, far = endpoint.incarnation.host, endpoint.peer.incarnation.host
        if (far, near) not in self.partitioned_links and not endpoint.closed:
            endpoint.discard()
            self._call_in_incarnation(endpoint, endpoint.fail, ConnectionResetError("reset"))

    def reset_peer(self, endpoint: Endpoint) -> None:
        """One side has ended: resets the other one unless they are partitioned."""
        endpoint.discard()
        self._reset_later(endpoint.peer)

    def endpoints_of(self, host: str) -> list[Endpoint]:
        """The open sides of connections that a machine holds."""
        return [one for one in self._endpoints if one.incarnation.host == host and not one.closed]

    # Faults

    def partition_link(self, a: str, b: str, refuse: bool = False, reset: bool = False) -> None:
        """Drops everything from `a` to `b` from now on."""
        self.partitioned_links.add((a, b))
        if refuse:
            self.refused_links |= {(a, b), (b, a)}
        if reset:
            for endpoint in self._endpoints:
                if {endpoint.incarnation.host, endpoint.peer.incarnation.host} == {a, b}:
                    endpoint.discard()
                    self._call_in_incarnation(endpoint, endpoint.fail, ConnectionResetError("cut"))

    def heal(self) -> None:
        """Ends all partitions and delivers delayed bytes."""
        self.partitioned_links.clear()
        self.refused_links.clear()
        for endpoint in self._endpoints:
            if endpoint.sent and not endpoint.closed:
                self._loop.call_soon(self._deliver, endpoint, context=Context())

    def reset_connections(self, host: str, share: float) -> None:
        """Some of a machine's connections are reset."""
        for endpoint in list(self._endpoints):
            if endpoint.incarnation.host == host and not endpoint.closed and self._random.random() < share:
                self._call_in_incarnation(endpoint, endpoint.fail, ConnectionResetError("reset"))
                self._call_in_incarnation(endpoint.peer, endpoint.peer.fail, ConnectionResetError("reset"))

    def end_incarnation(self, incarnation: Incarnation, power: bool) -> None:
        """A process has ended: its peers get resets, or nothing where the power was lost."""
        for key in [key for key, (owner, _) in self._listeners.items() if owner is incarnation]:
            del self._listeners[key]
        for endpoint in self._endpoints:
            if endpoint.incarnation is incarnation and not endpoint.closed:
                endpoint.closed = True
                endpoint.discard()
                if not power:
                    self._reset_later(endpoint.peer)
        self._endpoints = [
            one for one in self._endpoints if not (one.incarnation.ended and one.peer.incarnation.ended)
        ]


@dataclass
class Listening:
    """A listener that can be closed."""

    network: SimulatedNetwork
    host: str
    port: int

    def close(self) -> None:
        """New connections are refused."""
        self.network.stop_listening(self.host, self.port)


class IncarnationNetwork:
    """The network as one incarnation uses it (crowwing.tier.wire.network.Network)."""

    def __init__(self, network: SimulatedNetwork, incarnation: Incarnation) -> None:
        self._network, self._life = network, incarnation

    async def connect(self, host: str, port: int) -> tuple[asyncio.StreamReader, Any]:
        """Opens a connection."""
        return await self._network.connect(self._life, host, port)

    async def listen(self, host: str, port: int, accept: Accept) -> Listening:
        """Accepts connections."""
        return self._network.listen(self._life, host, port, accept)
