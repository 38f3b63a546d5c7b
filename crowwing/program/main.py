"""Starts one backend; one plain line and a non-zero exit where it cannot."""

import asyncio
import os
import sys
from collections.abc import Mapping, Sequence
from functools import partial
from typing import TYPE_CHECKING

import uvloop

from crowwing.program.backend import Backend
from crowwing.program.configuration import BadConfiguration, Configuration, read
from crowwing.program.log import Log

if TYPE_CHECKING:
    from types import SimpleNamespace


def _operator(environment: Mapping[str, str]) -> "SimpleNamespace | None":
    """The operator file, read in this process: so it starts where starting other programs is refused."""
    path = environment.get("CROWWING_OPERATOR")
    if not path:
        return None
    from crowwing.settings import plain  # only where a file is named

    try:
        return plain.read(path)
    except plain.BadOperator as wrong:
        first, *more = str(wrong).splitlines()
        raise BadConfiguration(f"{first} (and {len(more)} more)" if more else first) from None


def _fleet(operator: "SimpleNamespace | None", configuration: Configuration) -> None:
    """Peers naming this backend, an address that is no IPv4, timings that disagree, a folder that cannot be
    written, regions named for some, a use that this size does not carry: one line, before anything."""
    if operator is None or not getattr(operator, "fleet", None):  # UNSET and None alike are off
        return
    # only where a fleet is switched on
    from crowwing.fleet.adapters.settings import FleetSettingsError, check_size, folder, peers

    try:
        peers(operator.fleet, configuration.name)
        check_size(operator.fleet, configuration.name, len(configuration.names.customers))
        folder(operator.fleet)
        if operator.fleet.shares_prints and operator.storm is None:
            raise FleetSettingsError(
                "$.fleet.shares_prints: there is no storm section whose prints could be shared"
            )
    except FleetSettingsError as wrong:
        raise BadConfiguration(f"{os.environ['CROWWING_OPERATOR']}: {wrong}") from None


async def _serve(backend_of: object) -> None:
    await backend_of(asyncio.get_running_loop()).run()


def main(told_early: Sequence[int] = ()) -> int:
    """`told_early`: notices to leave, as the first lines of __main__ hear them until the loop does."""
    try:
        configuration = read(os.environ)
        operator = _operator(os.environ)
        _fleet(operator, configuration)
    except BadConfiguration as wrong:
        print(f"crowwing: {wrong}", file=sys.stderr)
        return 2
    log = Log(configuration.name)
    try:
        again = partial(read, os.environ)
        uvloop.run(_serve(lambda loop: Backend(loop, configuration, log, again, operator, told_early)))
    except OSError as wrong:
        where = wrong.filename or f"{configuration.listen[0]}:{configuration.listen[1]}"
        print(f"crowwing: {where}: {wrong.strerror}", file=sys.stderr)
        return 1
    return 0
