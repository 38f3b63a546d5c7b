"""The first steps of a process, before it loads its libraries, which takes up most of the startup time.

The listening sockets are bound first, so that clients that connect while the libraries load wait in the
listen backlog instead of being refused.
"""

import gc
import os
import socket
import sys
import time
import tomllib
from pathlib import Path

BACKLOG = 512  # listen backlog: connections that wait to be accepted
SETTINGS_VARIABLE = "CROWWING_SETTINGS"

started_at = time.monotonic()  # start time of this process on the monotonic clock
_sockets: dict[str, socket.socket] = {}


def bind(address: str) -> socket.socket:
    """Opens a listening socket.

    Args:
        address: `host:port`.

    Raises:
        OSError: the address can't be bound.
    """
    host, port = address.rsplit(":", 1)
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


def bind_listeners() -> None:
    """Binds the addresses under `listen` in the settings. Errors are reported later by `read_settings`."""
    try:
        text = Path(os.environ.get(SETTINGS_VARIABLE, "")).read_bytes().decode()
        addresses = tomllib.loads(text).get("listen", {}).values()
        for address in addresses:
            _sockets[address] = bind(address)
    except (OSError, ValueError, AttributeError):
        return


def skip_unused_libraries() -> None:
    """Keeps httpx from importing its command line, and httpcore from importing trio.

    Each takes a tenth of the startup time, and both libraries work without them.
    """
    for name in ("httpx._main", "trio"):
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]  # None makes the import fail


def pause_garbage_collection() -> None:
    """Disables garbage collection while libraries are loaded, since they allocate hardly any garbage.

    Collection would take a tenth of the startup time.
    """
    gc.disable()


def resume_garbage_collection() -> None:
    """Enables garbage collection, excluding the objects that the libraries have allocated."""
    gc.freeze()
    gc.enable()


def take_socket(address: str) -> socket.socket:
    """Returns the listening socket of an address, binding it if it is not bound yet.

    Args:
        address: `host:port`.

    Raises:
        OSError: the address can't be bound.
    """
    return _sockets.pop(address, None) or bind(address)
