"""The listening side of connections between backends."""

import asyncio
import contextlib

from crowwing.tier.wire.connection import Connection, Handler
from crowwing.tier.wire.egress import EgressPacer
from crowwing.tier.wire.network import TCP, Listener, Network


async def serve(
    host: str, port: int, handler: Handler, network: Network = TCP, pacer: EgressPacer | None = None
) -> Listener:
    """Accepts connections of other backends. Each is run until it ends.

    Args:
        host: the address to listen at.
        port: the internal port.
        handler: gets the requests and notifications of all connections and returns the responses.
        network: the network to listen on.
        pacer: shares the machine's link among all connections; None where nothing is paced.

    Returns:
        The listener, which the caller closes. Connections that are open stay so.

    Raises:
        OSError: the address can't be listened at.
    """

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError):  # the process ends
            await Connection(reader, writer, handler, pacer).run()

    return await network.listen(host, port, accept)
