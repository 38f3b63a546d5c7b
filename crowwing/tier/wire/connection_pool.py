"""The pool of connections that a process opens to other backends."""

import asyncio
import logging
from collections.abc import Coroutine, Iterable

from crowwing.tier.wire.codec import Decoded
from crowwing.tier.wire.connection import Connection, Handler, open_connection
from crowwing.tier.wire.egress import EgressPacer
from crowwing.tier.wire.errors import CallError
from crowwing.tier.wire.frames import NO_CALL, FrameKind, encode_frame
from crowwing.tier.wire.network import TCP, Network
from crowwing.tier.wire.traffic import TrafficClass

log = logging.getLogger("crowwing.wire")


class ConnectionPool:
    """One connection per host, opened on first use and reopened after it has ended.

    The process of a front or store machine owns its pools and closes them; everything that calls or notifies
    other backends shares them.

    Attributes:
        pacer: shares the machine's link among all connections; None if traffic is not paced.
    """

    def __init__(
        self,
        port: int,
        handler: Handler | None = None,
        network: Network = TCP,
        pacer: EgressPacer | None = None,
    ) -> None:
        """Creates a pool without connections.

        Args:
            port: the internal port, the same on all hosts.
            handler: receives the requests and notifications that peers send over these connections.
            network: the network to use.
            pacer: shares the machine's link among all connections; None if traffic is not paced.
        """
        self._port = port
        self._handler = handler
        self._network = network
        self.pacer = pacer
        self._connections: dict[str, Connection] = {}
        self._connecting: dict[str, asyncio.Task[Connection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def get(self, host: str) -> Connection:
        """Returns an open connection to a host. Concurrent callers share one attempt to connect.

        Raises:
            ConnectError: connecting failed or timed out.
        """
        connection = self._connections.get(host)
        if connection is not None and not connection.is_closed:
            return connection
        connecting = self._connecting.get(host)
        if connecting is None:
            connecting = asyncio.ensure_future(self._connect(host))
            self._connecting[host] = connecting
            connecting.add_done_callback(lambda task: self._finish_connecting(host, task))
        return await asyncio.shield(connecting)

    async def _connect(self, host: str) -> Connection:
        connection = await open_connection(host, self._port, self._handler, self._network, self.pacer)
        self._connections[host] = connection
        self._start(connection.run())
        return connection

    def _finish_connecting(self, host: str, task: asyncio.Task[Connection]) -> None:
        self._connecting.pop(host, None)
        if not task.cancelled():
            task.exception()  # retrieved so that asyncio does not warn if no caller waits any more

    def _start(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def call(self, host: str, body: object, timeout_s: float) -> Decoded:
        """Sends a request to a host and waits for its response.

        Args:
            host: the address of the other backend.
            body: a message or plain values.
            timeout_s: how long to wait for the response once connected, in seconds.

        Raises:
            CallError: no response was received; `sent` tells whether the host may have received the request.
        """
        connection = await self.get(host)
        return await connection.call(body, timeout_s)

    def notify(self, host: str, body: object) -> None:
        """Sends a message without a response; it is lost if the host can't be reached."""
        self.notify_all((host,), body)

    def notify_all(self, hosts: Iterable[str], body: object) -> int:
        """Sends one message to several hosts, encoding it once; returns the length of its frame in bytes."""
        frame = encode_frame(FrameKind.NOTIFICATION, NO_CALL, body)
        traffic_class = TrafficClass.CONTROL if self.pacer is None else self.pacer.classify(body)
        for host in hosts:
            connection = self._connections.get(host)
            if connection is not None and not connection.is_closed:
                connection.notify_frame(frame, traffic_class)
            else:
                self._start(self._connect_and_notify(host, frame, traffic_class))
        return len(frame)

    async def _connect_and_notify(self, host: str, frame: bytes, traffic_class: TrafficClass) -> None:
        try:
            connection = await self.get(host)
        except CallError as error:
            log.debug("notification_dropped host=%s error=%s", host, error)
            return
        connection.notify_frame(frame, traffic_class)

    @property
    def buffered_bytes(self) -> int:
        """Bytes buffered in this process that are not sent yet."""
        return sum(
            connection.buffered_bytes for connection in self._connections.values() if not connection.is_closed
        )

    def close(self) -> None:
        """Closes all connections."""
        for connection in self._connections.values():
            connection.close()
