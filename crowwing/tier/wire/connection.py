"""A connection between two backends: calls with a response and notifications, in both directions."""

import asyncio
import itertools
import logging
from collections.abc import Awaitable, Callable

from crowwing.tier.wire.codec import Decoded
from crowwing.tier.wire.egress import EgressPacer
from crowwing.tier.wire.errors import (
    CallTimeoutError,
    ConnectError,
    ConnectionClosedError,
    ConnectionLostError,
    FrameTooLongError,
    MessageError,
    RemoteError,
)
from crowwing.tier.wire.frames import (
    LENGTH,
    MAX_FRAME_BYTES,
    NO_CALL,
    Frame,
    FrameKind,
    decode_frame,
    encode_frame,
)
from crowwing.tier.wire.network import TCP, Network
from crowwing.tier.wire.paced_flow import Chunk
from crowwing.tier.wire.socket_options import set_socket_options
from crowwing.tier.wire.traffic import TrafficClass

log = logging.getLogger("crowwing.wire")

MAX_BUFFERED_BYTES = 2 * 1024 * 1024  # notifications to a slow peer are dropped above this
CONNECT_TIMEOUT_S = 0.5

Handler = Callable[["Connection", Decoded], Awaitable[object]]


class Connection:
    """One connection between two backends.

    `ConnectionPool` owns the connections that this process opened, `server.serve` those that it accepted; the
    owner runs `run` as a separate task. Any code may use `call` and `notify`, and keep the connection to send
    to the same peer later.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler | None,
        pacer: EgressPacer | None = None,
    ) -> None:
        """Creates a connection from an open stream.

        Args:
            reader: receives from the peer.
            writer: sends to the peer.
            handler: receives the peer's requests and notifications and returns the responses; None to ignore
                them.
            pacer: shares the machine's link among all connections; None if traffic is not paced.
        """
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._call_numbers = itertools.count(1)
        self._pending_calls: dict[int, asyncio.Future[Decoded]] = {}
        self._handler_tasks: set[asyncio.Task[None]] = set()
        self.is_closed = False
        self._pacer = pacer
        self._flow = (
            pacer.open_flow(self._write_chunk, writer.transport.get_write_buffer_size) if pacer else None
        )
        set_socket_options(writer)

    @property
    def remote(self) -> str:
        """The address of the peer; empty if it is no longer known."""
        peer_name = self._writer.get_extra_info("peername")
        return peer_name[0] if peer_name else ""

    @property
    def buffered_bytes(self) -> int:
        """Bytes buffered in this process that are not sent yet."""
        in_transport: int = self._writer.transport.get_write_buffer_size()
        return in_transport if self._flow is None else in_transport + self._flow.waiting_bytes

    async def run(self) -> None:
        """Reads frames until the connection ends; all pending calls fail then."""
        try:
            while True:
                await self._read_frame()
        except MessageError as error:
            log.warning("connection_broken peer=%s error=%s", self.remote, error)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.close()

    async def _read_frame(self) -> None:
        (length,) = LENGTH.unpack(await self._reader.readexactly(LENGTH.size))
        if length > MAX_FRAME_BYTES:
            raise FrameTooLongError(length, MAX_FRAME_BYTES)
        frame = decode_frame(await self._reader.readexactly(length))
        if frame.kind in (FrameKind.RESPONSE, FrameKind.FAILURE):
            self._complete_call(frame)
        elif self._handler is not None:
            task = asyncio.ensure_future(self._handle(self._handler, frame))
            self._handler_tasks.add(task)
            task.add_done_callback(self._handler_tasks.discard)

    def _complete_call(self, frame: Frame) -> None:
        future = self._pending_calls.pop(frame.call_number, None)
        if future is None or future.done():
            return
        if frame.kind is FrameKind.RESPONSE:
            future.set_result(frame.body)
        else:
            future.set_exception(RemoteError(frame.body))

    async def _handle(self, handler: Handler, frame: Frame) -> None:
        try:
            result = await handler(self, frame.body)
        except Exception as error:  # a failing handler must not end the connection or the process
            log.exception("handler_failed message=%s peer=%s", type(frame.body).__name__, self.remote)
            self._write(FrameKind.FAILURE, frame.call_number, str(error))
            return
        if frame.kind is FrameKind.REQUEST:
            self._write(FrameKind.RESPONSE, frame.call_number, result)

    def _write(self, kind: FrameKind, call_number: int, body: object) -> None:
        if not self.is_closed:
            self._write_frame(encode_frame(kind, call_number, body), self._classify(body))

    def _classify(self, body: object) -> TrafficClass:
        return TrafficClass.CONTROL if self._pacer is None else self._pacer.classify(body)

    def _write_frame(self, frame: bytes, traffic_class: TrafficClass) -> None:
        if self._flow is None:
            self._write_chunk(frame)
        else:
            self._flow.send(frame, traffic_class)

    def _write_chunk(self, chunk: Chunk) -> None:
        if self.is_closed:
            return
        try:
            self._writer.write(chunk)
        except (RuntimeError, OSError) as error:  # closed by the event loop; the reader notices later
            log.debug("write_failed peer=%s error=%s", self.remote, error)
            self.close()

    def notify(self, body: object) -> None:
        """Sends a message without a response; it is dropped if the peer reads too slowly.

        Args:
            body: a message or plain values.
        """
        frame = encode_frame(FrameKind.NOTIFICATION, NO_CALL, body)
        self.notify_frame(frame, self._classify(body))

    def notify_frame(self, frame: bytes, traffic_class: TrafficClass) -> None:
        """Sends an encoded notification, like `notify`.

        Args:
            frame: a notification encoded by `encode_frame`.
            traffic_class: its priority.
        """
        is_control = traffic_class is TrafficClass.CONTROL
        buffered_bytes = self._writer.transport.get_write_buffer_size() if is_control else self.buffered_bytes
        if not self.is_closed and buffered_bytes < MAX_BUFFERED_BYTES:
            self._write_frame(frame, traffic_class)

    async def call(self, body: object, timeout_s: float) -> Decoded:
        """Sends a request and waits for its response.

        Args:
            body: a message or plain values.
            timeout_s: how long to wait, in seconds.

        Returns:
            The response; its type depends on the handler.

        Raises:
            CallError: no response was received; `sent` tells whether the peer may have received the request.
        """
        if self.is_closed:
            raise ConnectionClosedError
        call_number = next(self._call_numbers)
        future: asyncio.Future[Decoded] = asyncio.get_running_loop().create_future()
        self._pending_calls[call_number] = future
        try:
            self._write(FrameKind.REQUEST, call_number, body)
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            raise CallTimeoutError(timeout_s) from None
        finally:
            self._pending_calls.pop(call_number, None)

    def close(self) -> None:
        """Aborts the connection: pending calls fail, and handlers are cancelled."""
        if self.is_closed:
            return
        self.is_closed = True
        for future in self._pending_calls.values():
            if not future.done():
                future.set_exception(ConnectionLostError())
        for task in list(self._handler_tasks):
            task.cancel()
        if self._flow is not None:
            self._flow.close()
        self._writer.transport.abort()


async def open_connection(
    host: str, port: int, handler: Handler | None, network: Network = TCP, pacer: EgressPacer | None = None
) -> Connection:
    """Connects to another backend. The caller runs the connection's `run()` as a separate task.

    Args:
        host: the address of the other backend.
        port: its internal port.
        handler: receives the requests and notifications that the peer sends over this connection.
        network: the network to use.
        pacer: shares the machine's link among all connections; None if traffic is not paced.

    Raises:
        ConnectError: connecting failed or timed out.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await network.connect(host, port)
    except (OSError, TimeoutError) as error:
        raise ConnectError(host, port, error) from None
    return Connection(reader, writer, handler, pacer)
