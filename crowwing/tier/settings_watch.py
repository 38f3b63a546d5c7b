"""Notices that the settings file has changed, by SIGHUP or without a signal."""

import asyncio
import logging
import os
from collections.abc import Callable

from crowwing.tier.settings import DEFAULT_SETTINGS_PATH, SETTINGS_VARIABLE, Settings, read_settings

log = logging.getLogger("crowwing.settings")

LOOK_EVERY_S = 2.0


def _stamp(path: str) -> tuple[int, int] | None:
    """What differs between two contents of a file; None where it can't be told."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


async def watch_settings(changed: asyncio.Event, take: Callable[[Settings], None]) -> None:
    """Hands changed settings over; those that can't be used are logged, and the old ones stay."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)
    seen = _stamp(path)
    while True:
        try:
            async with asyncio.timeout(LOOK_EVERY_S):
                await changed.wait()
        except TimeoutError:
            pass
        stamp = _stamp(path)
        if stamp == seen and not changed.is_set():
            continue
        changed.clear()
        seen = stamp
        settings = read_settings(path)
        if isinstance(settings, Settings):
            log.info("the settings have changed; seeds are %s", ", ".join(settings.seeds))
            take(settings)
        else:
            log.error("changed settings can't be used: %s", settings)
