"""Starts one backend; if it cannot, prints one line and exits with a non-zero status."""

import asyncio
import os
import sys
from collections.abc import Mapping, Sequence
from functools import partial
from typing import TYPE_CHECKING

import uvloop

from crowwing.program.backend import Backend
from crowwing.program.configuration import Configuration, ConfigurationError, read
from crowwing.program.log import Log

if TYPE_CHECKING:
    from types import SimpleNamespace


def _read_operator_file(environment: Mapping[str, str]) -> "SimpleNamespace | None":
    """Reads the operator file in this process, as some platforms refuse to start other programs."""
    path = environment.get("CROWWING_OPERATOR")
    if not path:
        return None
    from crowwing.settings import operator_file  # only if a file is named

    try:
        return operator_file.read(path)
    except operator_file.OperatorFileError as error:
        first, *others = str(error).splitlines()
        raise ConfigurationError(f"{first} (and {len(others)} more)" if others else first) from None


def _check_fleet(operator: "SimpleNamespace | None", configuration: Configuration) -> None:
    """Checks the fleet section before anything starts: peers, IPv4 addresses, timings, the snapshot folder,
    regions, and whether the fleet's size supports the features; raises ConfigurationError with one line."""
    if operator is None or not getattr(operator, "fleet", None):  # UNSET and None alike are off
        return
    # only if a fleet is configured
    from crowwing.fleet.adapters.settings import FleetSettingsError, check_size, folder, peers

    try:
        peers(operator.fleet, configuration.name)
        check_size(operator.fleet, configuration.name, len(configuration.names.customers))
        folder(operator.fleet)
        if operator.fleet.shares_prints and operator.storm is None:
            raise FleetSettingsError(
                "$.fleet.shares_prints: needs a storm section, whose fingerprints are shared"
            )
    except FleetSettingsError as error:
        raise ConfigurationError(f"{os.environ['CROWWING_OPERATOR']}: {error}") from None


async def _serve(create_backend: object) -> None:
    await create_backend(asyncio.get_running_loop()).run()


def main(early_signals: Sequence[int] = ()) -> int:
    """`early_signals`: signals recorded by __main__ until the event loop handles them."""
    try:
        configuration = read(os.environ)
        operator = _read_operator_file(os.environ)
        _check_fleet(operator, configuration)
    except ConfigurationError as error:
        print(f"crowwing: {error}", file=sys.stderr)
        return 2
    log = Log(configuration.name)
    try:
        read_again = partial(read, os.environ)
        uvloop.run(
            _serve(lambda loop: Backend(loop, configuration, log, read_again, operator, early_signals))
        )
    except OSError as error:
        where = error.filename or f"{configuration.listen[0]}:{configuration.listen[1]}"
        print(f"crowwing: {where}: {error.strerror}", file=sys.stderr)
        return 1
    return 0
