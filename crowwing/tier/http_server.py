"""uvicorn servers that share one event loop and leave signals to their process."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from typing import Any

import uvicorn

from crowwing.tier.startup import BACKLOG, take_socket


class Server(uvicorn.Server):
    """A server that takes no signals."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Signals are the process's own matter."""
        yield


def make_server(
    app: Callable[..., Any],
    address: str,
    grace_s: float,
    keep_alive_s: float,
    connection: Callable[..., asyncio.Protocol] | None = None,
) -> Server:
    """Makes a server that does not listen yet.

    Args:
        app: the application, of ASGI's third version.
        address: `host:port`.
        grace_s: how long its end waits for open requests, in seconds; at least 1.
        keep_alive_s: how long an idle connection stays open, in seconds.
        connection: makes the protocol of each connection; uvicorn's own where it is not given.
    """
    host, port = address.rsplit(":", 1)
    config = uvicorn.Config(
        app,
        interface="asgi3",
        host=host,
        port=int(port),
        http=connection or "httptools",  # type: ignore[arg-type]  # uvicorn types a class, and takes any factory
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
    """Serves until `stop` is set, then until open requests have ended.

    Args:
        server: what `make_server` made.
        stop: asks for the end.

    Raises:
        OSError: the address can't be listened at.
    """
    listener = take_socket(f"{server.config.host}:{server.config.port}")
    serving = asyncio.ensure_future(server.serve(sockets=[listener]))
    stopping = asyncio.ensure_future(stop.wait())
    await asyncio.wait({serving, stopping}, return_when=asyncio.FIRST_COMPLETED)
    server.should_exit = True
    stopping.cancel()
    await serving
