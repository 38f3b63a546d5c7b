"""uvicorn servers that share one event loop and leave signal handling to the process."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from typing import Any

import uvicorn

from crowwing.tier.startup import BACKLOG, take_socket


class Server(uvicorn.Server):
    """A server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Does nothing: the process handles signals."""
        yield


def make_server(
    app: Callable[..., Any],
    address: str,
    grace_s: float,
    keep_alive_s: float,
    connection: Callable[..., asyncio.Protocol] | None = None,
) -> Server:
    """Creates a server that is not listening yet.

    Args:
        app: the ASGI 3 application.
        address: `host:port`.
        grace_s: how long shutdown waits for open requests, in seconds; at least 1.
        keep_alive_s: how long an idle connection stays open, in seconds.
        connection: protocol factory for connections; uvicorn's own by default.
    """
    host, port = address.rsplit(":", 1)
    config = uvicorn.Config(
        app,
        interface="asgi3",
        host=host,
        port=int(port),
        http=connection or "httptools",  # type: ignore[arg-type]  # typed as a class, but any factory works
        loop="none",
        lifespan="off",
        ws="none",
        access_log=False,
        log_config=None,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        backlog=BACKLOG,
        timeout_keep_alive=int(keep_alive_s),
        timeout_graceful_shutdown=max(1, int(grace_s)),
    )
    return Server(config)


async def serve_until(server: Server, stop: asyncio.Event) -> None:
    """Serves until `stop` is set, then shuts down once open requests have ended.

    Args:
        server: a server from `make_server`.
        stop: set to request shutdown.

    Raises:
        OSError: the address can't be bound.
    """
    listener = take_socket(f"{server.config.host}:{server.config.port}")
    serving = asyncio.ensure_future(server.serve(sockets=[listener]))
    stopping = asyncio.ensure_future(stop.wait())
    await asyncio.wait({serving, stopping}, return_when=asyncio.FIRST_COMPLETED)
    server.should_exit = True
    stopping.cancel()
    await serving
