"""The network used by connections between backends: TCP, or a simulated network in tests."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

Accept = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Listener(Protocol):
    """Accepts connections until it is closed."""

    def close(self) -> None:
        """Stops listening."""


class Network(Protocol):
    """Opens byte streams to other machines, and accepts streams from them."""

    async def connect(self, host: str, port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a stream; raises OSError."""
        ...

    async def listen(self, host: str, port: int, accept: Accept) -> Listener:
        """Calls `accept` for each stream that another machine opens; raises OSError."""
        ...


class TcpNetwork:
    """TCP over IPv4."""

    async def connect(self, host: str, port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a stream; raises OSError."""
        return await asyncio.open_connection(host, port)

    async def listen(self, host: str, port: int, accept: Accept) -> asyncio.Server:
        """Calls `accept` for each stream that another machine opens; raises OSError."""
        return await asyncio.start_server(accept, host, port, reuse_address=True)


TCP = TcpNetwork()
