"""The tier's command line: one binary, the role as a sub-command."""

import asyncio
from dataclasses import dataclass

import cappa

from crowwing.tier.operator_commands import Check, Get, Put, Retire, Show
from crowwing.tier.roles import FRONT, STORE, run_role


@cappa.command(name="front", help="run a front: takes requests and lots, and dispatches them to sidecars")
@dataclass
class Front:
    """The front role."""

    def __call__(self) -> int:
        """Runs until SIGTERM."""
        return run_role(FRONT)


@cappa.command(name="store", help="run a store machine: state, operator's API, leases of items")
@dataclass
class Store:
    """The store role."""

    def __call__(self) -> int:
        """Runs until SIGTERM."""
        return run_role(STORE)


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
