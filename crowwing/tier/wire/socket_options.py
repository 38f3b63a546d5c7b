"""Options of the TCP sockets between backends, so that a peer that is gone shows within seconds."""

import asyncio
import logging
import socket

log = logging.getLogger("crowwing.wire")

UNACKNOWLEDGED_MS = 1500  # bytes that the peer has not acknowledged for so long end the connection


def set_socket_options(writer: asyncio.StreamWriter) -> None:
    """Sends small frames at once, and bounds how long bytes may stay unacknowledged.

    Args:
        writer: a stream. One without a socket, as in simulated runs, is left as it is.
    """
    tcp_socket = writer.get_extra_info("socket")
    if tcp_socket is None:
        return
    try:
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    except OSError as error:
        log.debug("socket_options_failed error=%s", error)
