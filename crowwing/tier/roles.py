"""Runs the process of a role. Separate from the command line, which takes longer to load than a role."""

import sys

import uvloop

from crowwing.tier.process import set_up_logging
from crowwing.tier.settings import InvalidSettings, Settings, read_settings
from crowwing.tier.startup import resume_garbage_collection

FRONT = "front"
STORE = "store"
ROLES = (FRONT, STORE)
USAGE_ERROR = 2  # exit status


def _settings_or_exit() -> Settings:
    settings = read_settings()
    if isinstance(settings, InvalidSettings):
        print(f"crowwing: {settings}", file=sys.stderr)
        raise SystemExit(USAGE_ERROR)
    set_up_logging(settings.node)
    return settings


def run_role(role: str) -> int:
    """Runs a role until SIGTERM.

    Args:
        role: one of `ROLES`.

    Returns:
        The exit status.

    Raises:
        SystemExit: the settings can't be used.
    """
    settings = _settings_or_exit()
    if role == FRONT:
        from crowwing.tier.front.main import run_front

        resume_garbage_collection()
        return uvloop.run(run_front(settings))
    from crowwing.tier.store.main import run_store

    resume_garbage_collection()
    return uvloop.run(run_store(settings))
