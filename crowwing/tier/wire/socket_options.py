"""Options of the TCP sockets between backends, so that a dead peer is detected within seconds."""

import asyncio
import logging
import socket

log = logging.getLogger("crowwing.wire")

UNACKNOWLEDGED_MS = 1500  # the connection ends if sent bytes stay unacknowledged for longer


def set_socket_options(writer: asyncio.StreamWriter) -> None:
    """Disables Nagle's algorithm, and limits how long sent bytes may stay unacknowledged.

    Args:
        writer: a stream; one without a socket, as in simulations, is left unchanged.
    """
    tcp_socket = writer.get_extra_info("socket")
    if tcp_socket is None:
        return
    try:
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    except OSError as error:
        log.debug("socket_options_failed error=%s", error)
