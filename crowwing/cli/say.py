"""How commands end: one line on standard error, 1 for what failed and 2 for wrong use."""

import sys
from typing import NoReturn

import typer


def wrong_use(why: object) -> NoReturn:
    print(f"crowwing: {why}", file=sys.stderr)
    raise typer.Exit(2)


def failed(why: object) -> NoReturn:
    print(f"crowwing: {why}", file=sys.stderr)
    raise typer.Exit(1)
