"""The connection of a client: uvicorn's HTTP protocol with the limits of the configuration."""

import asyncio
import logging
import socket
from dataclasses import dataclass
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

log = logging.getLogger("crowwing.clients")

TCP_USER_TIMEOUT_MS = 20_000  # how long response bytes may stay unacknowledged or unread
HEADER_EXTRA_BYTES = 4  # of a header line beyond its name and value: colon, space, CR and LF


@dataclass
class ClientLimits:
    """Size and time limits for clients. Shared by all connections, and updated in place."""

    max_header_bytes: int = 16 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 75.0


class ClientConnection(HttpToolsProtocol):
    """Rejects request heads that are too large or too slow, and closes idle connections.

    Created by the HTTP server for each connection; uvicorn calls it.
    """

    # uvicorn declares an int, but only passes it to `call_later`, which accepts fractions
    timeout_keep_alive: float  # type: ignore[assignment]

    def __init__(self, limits: ClientLimits, **arguments: Any) -> None:  # noqa: ANN401  uvicorn's own arguments
        """Applies `limits` to this connection; the other arguments are uvicorn's."""
        super().__init__(**arguments)
        self._limits = limits
        self.timeout_keep_alive = limits.idle_timeout_s
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._rejected = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Starts the idle timer, so that a connection that never sends anything is closed too."""
        super().connection_made(transport)
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the head timer."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Counts the bytes of the head, and rejects one that is too large."""
        if self._rejected:
            return
        self._head_bytes += len(data)
        super().data_received(data)
        if self._head_timer is not None and self._head_bytes > self._limits.max_header_bytes:
            self._reject(431, "Request Header Fields Too Large")

    def on_message_begin(self) -> None:
        """Starts the head timer at the first byte of a head."""
        super().on_message_begin()
        self.timeout_keep_alive = self._limits.idle_timeout_s
        self._head_timer = self.loop.call_later(self._limits.header_timeout_s, self._head_too_slow)

    def on_headers_complete(self) -> None:
        """Checks the size of the complete head, without bytes received after it."""
        self._stop_head_timer()
        self._head_bytes = 0
        header_bytes = sum(len(name) + len(value) + HEADER_EXTRA_BYTES for name, value in self.headers)
        if len(self.url) + header_bytes > self._limits.max_header_bytes:
            self._reject(431, "Request Header Fields Too Large")
        else:
            super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Passes on a chunk of the body, unless the request was rejected."""
        if not self._rejected:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Handles the end of a request; the next bytes belong to another head."""
        self._head_bytes = 0
        if not self._rejected:
            super().on_message_complete()

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _head_too_slow(self) -> None:
        self._reject(408, "Request Timeout")

    def _reject(self, status: int, reason: str) -> None:
        """Responds with an error to a request that was not executed, and closes the connection."""
        self._stop_head_timer()
        self._rejected = True
        if self.cycle is not None and not self.cycle.response_complete:
            self.transport.close()  # the response to an earlier request is still being sent
            return
        head = f"HTTP/1.1 {status} {reason}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
        self.transport.write(head.encode())
        self.transport.close()
