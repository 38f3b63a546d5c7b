"""Detects changes of the settings file, on SIGHUP or by polling."""

import asyncio
import contextlib
import logging
import os
from collections.abc import Callable
from pathlib import Path

from crowwing.tier.settings import DEFAULT_SETTINGS_PATH, SETTINGS_VARIABLE, Settings, read_settings

log = logging.getLogger("crowwing.settings")

CHECK_INTERVAL_S = 2.0  # polling interval


def _fingerprint(path: str) -> tuple[int, int] | None:
    """Modification time and size, used to detect changes; None if the file does not exist."""
    try:
        status = Path(path).stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


async def watch_settings(changed: asyncio.Event, apply: Callable[[Settings], None]) -> None:
    """Applies changed settings; invalid ones are logged, and the previous ones stay in effect.

    Args:
        changed: set on SIGHUP; cleared here.
        apply: called with the new settings.
    """
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)
    known = _fingerprint(path)
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await changed.wait()
        fingerprint = _fingerprint(path)
        if fingerprint == known and not changed.is_set():
            continue
        changed.clear()
        known = fingerprint
        settings = read_settings(path)
        if isinstance(settings, Settings):
            log.info("settings_changed seeds=%s", ",".join(settings.seeds))
            apply(settings)
        else:
            log.error("settings_invalid error=%s", settings)
