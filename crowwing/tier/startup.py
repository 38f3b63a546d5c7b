"""What a process does before its libraries are loaded, which takes longer than all the rest of a start.

The listening sockets are bound first: a client that comes while the libraries load waits a moment in the
queue of new connections, where it would else be refused.
"""

import gc
import os
import socket
import sys
import time
import tomllib
from pathlib import Path

BACKLOG = 512  # connections that wait to be accepted
SETTINGS_VARIABLE = "CROWWING_SETTINGS"

started_at = time.monotonic()  # when this process began, on the monotonic clock
_sockets: dict[str, socket.socket] = {}


def bind(address: str) -> socket.socket:
    """Opens a listening socket.

    Args:
        address: `host:port`.

    Raises:
        OSError: the address can't be listened at.
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
    """Binds what the settings name under `listen`. Mistakes are left to the full reading of the settings."""
    try:
        text = Path(os.environ.get(SETTINGS_VARIABLE, "")).read_bytes().decode()
        addresses = tomllib.loads(text).get("listen", {}).values()
        for address in addresses:
            _sockets[address] = bind(address)
    except (OSError, ValueError, AttributeError):
        return


def skip_unused_libraries() -> None:
    """Keeps httpx from loading its own command line, and httpcore a second event loop's library.

    Each is a tenth of a start; both go on without.
    """
    for name in ("httpx._main", "trio"):
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]  # None makes the import fail


def pause_garbage_collection() -> None:
    """Stops collecting while libraries are loaded: hardly anything that they allocate is garbage.

    It would be a tenth of a start.
    """
    gc.disable()


def resume_garbage_collection() -> None:
    """Collects garbage from now on, without what the libraries allocated."""
    gc.freeze()
    gc.enable()


def take_socket(address: str) -> socket.socket:
    """The listening socket of an address, bound now if that was not done before.

    Args:
        address: `host:port`.

    Raises:
        OSError: the address can't be listened at.
    """
    return _sockets.pop(address, None) or bind(address)
