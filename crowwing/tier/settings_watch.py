"""Notices that the settings file has changed, by SIGHUP or without a signal."""

import asyncio
import contextlib
import logging
import os
from collections.abc import Callable
from pathlib import Path

from crowwing.tier.settings import DEFAULT_SETTINGS_PATH, SETTINGS_VARIABLE, Settings, read_settings

log = logging.getLogger("crowwing.settings")

CHECK_INTERVAL_S = 2.0  # between two looks at the file where no signal comes


def _fingerprint(path: str) -> tuple[int, int] | None:
    """Time of change and size, which differ between two contents of a file; None where there is no file."""
    try:
        status = Path(path).stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


async def watch_settings(changed: asyncio.Event, apply: Callable[[Settings], None]) -> None:
    """Hands changed settings over; those that can't be used are logged, and the old ones stay in force.

    Args:
        changed: set by SIGHUP; cleared here.
        apply: gets the new settings.
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
