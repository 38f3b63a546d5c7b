"""How commands end: one line on standard error, 1 for what failed and 2 for wrong use."""

import sys
from typing import NoReturn

import typer


def exit_usage_error(reason: object) -> NoReturn:
    print(f"crowwing: {reason}", file=sys.stderr)
    raise typer.Exit(2)


def exit_failed(reason: object) -> NoReturn:
    print(f"crowwing: {reason}", file=sys.stderr)
    raise typer.Exit(1)
