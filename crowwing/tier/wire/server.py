"""Accepts connections from other backends."""

import asyncio
import contextlib

from crowwing.tier.wire.connection import Connection, Handler
from crowwing.tier.wire.egress import EgressPacer
from crowwing.tier.wire.network import TCP, Listener, Network


async def serve(
    host: str, port: int, handler: Handler, network: Network = TCP, pacer: EgressPacer | None = None
) -> Listener:
    """Accepts connections from other backends, and runs each until it ends.

    Args:
        host: the address to listen on.
        port: the internal port.
        handler: receives the requests and notifications of all connections and returns the responses.
        network: the network to use.
        pacer: shares the machine's link among all connections; None if traffic is not paced.

    Returns:
        The listener, which the caller closes. Closing it leaves open connections open.

    Raises:
        OSError: the address can't be bound.
    """

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError):  # the process is shutting down
            await Connection(reader, writer, handler, pacer).run()

    return await network.listen(host, port, accept)
