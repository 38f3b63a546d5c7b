"""The tier's command line: one binary, the role as a sub-command."""

import asyncio
import sys
from dataclasses import dataclass

import cappa
import uvloop

from crowwing.tier.operator_commands import Check, Get, Put, Retire, Show
from crowwing.tier.process import set_up_logging
from crowwing.tier.settings import Settings, SettingsError, read_settings

WRONG_USE = 2


def _settings_or_exit() -> Settings:
    settings = read_settings()
    if isinstance(settings, SettingsError):
        print(f"crowwing: {settings}", file=sys.stderr)
        raise SystemExit(WRONG_USE)
    set_up_logging(settings.node)
    return settings


@cappa.command(name="front", help="run a front: takes requests and lots, and dispatches them to sidecars")
@dataclass
class Front:
    """The front role."""

    def __call__(self) -> int:
        """Runs until SIGTERM."""
        from crowwing.tier.front.main import run_front

        return uvloop.run(run_front(_settings_or_exit()))


@cappa.command(name="store", help="run a store machine: state, operator's API, leases of items")
@dataclass
class Store:
    """The store role."""

    def __call__(self) -> int:
        """Runs until SIGTERM."""
        from crowwing.tier.store.main import run_store

        return uvloop.run(run_store(_settings_or_exit()))


@cappa.command(name="crowwing tier", help="the serving tier")
@dataclass
class Tier:
    """All roles, and what an operator asks."""

    role: cappa.Subcommands[Front | Store | Check | Get | Put | Retire | Show]


def main(arguments: list[str]) -> int:
    """0 done, 1 failed, 2 wrong use."""
    try:
        return cappa.invoke(Tier, argv=arguments) or 0
    except asyncio.CancelledError:
        return 1
