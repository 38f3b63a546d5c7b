"""The tier's command line: one binary with the role as a sub-command."""

import asyncio
from dataclasses import dataclass

import cappa

from crowwing.tier.operator_commands import Check, Get, Put, Retire, Show
from crowwing.tier.roles import FRONT, STORE, run_role


@cappa.command(name="front", help="run a front: accepts requests and lots, and dispatches them to sidecars")
@dataclass
class Front:
    """The front role."""

    def __call__(self) -> int:
        """Runs until SIGTERM."""
        return run_role(FRONT)


@cappa.command(name="store", help="run a store machine: replicated state, operator's API, item leases")
@dataclass
class Store:
    """The store role."""

    def __call__(self) -> int:
        """Runs until SIGTERM."""
        return run_role(STORE)


@cappa.command(name="crowwing tier", help="the serving tier")
@dataclass
class Tier:
    """All roles and operator commands."""

    role: cappa.Subcommands[Front | Store | Check | Get | Put | Retire | Show]


def main(arguments: list[str]) -> int:
    """Runs the command line; returns 0 for success, 1 for a failure, 2 for incorrect usage."""
    try:
        return cappa.invoke(Tier, argv=arguments) or 0
    except asyncio.CancelledError:
        return 1
