"""How commands exit with an error: one line on standard error; status 1 for failures, 2 for wrong usage."""

import sys
from typing import NoReturn

import typer


def exit_usage_error(reason: object) -> NoReturn:
    print(f"crowwing: {reason}", file=sys.stderr)
    raise typer.Exit(2)


def exit_failed(reason: object) -> NoReturn:
    print(f"crowwing: {reason}", file=sys.stderr)
    raise typer.Exit(1)
