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

BACKLOG = 512
SETTINGS_VARIABLE = "CROWWING_SETTINGS"

started_at = time.monotonic()
_sockets: dict[str, socket.socket] = {}


def bind(address: str) -> socket.socket:
    """A listening socket at `host:port`; raises OSError."""
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
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]


def put_off_garbage_collection() -> None:
    """Until the libraries are loaded, hardly anything that they allocate is garbage: a tenth of a start."""
    gc.disable()


def resume_garbage_collection() -> None:
    """From now on garbage is collected; what the libraries allocated is not gone through again."""
    gc.freeze()
    gc.enable()


def take_socket(address: str) -> socket.socket:
    """The listening socket of an address, bound now if that was not done before; raises OSError."""
    return _sockets.pop(address, None) or bind(address)
