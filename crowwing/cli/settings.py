"""`crowwing settings`: checks the operator file, and prints its schema."""

import sys
from pathlib import Path
from typing import Annotated

import typer
from msgspec import UNSET

from crowwing.settings import operator
from crowwing.settings.operator_file import OperatorFileError

app = typer.Typer(no_args_is_help=True, help="The operator file: check it, or write its JSON Schema.")


@app.command(epilog="Example: crowwing settings check deploy/operator.json")
def check(file: Annotated[Path, typer.Argument(help="The operator file, JSON.")]) -> None:
    """Prints each error with its JSON path or, if there is none, the sections that are on."""
    try:
        sections = operator.read(file)
    except OperatorFileError as error:
        for line in str(error).splitlines():
            print(f"crowwing: {line}", file=sys.stderr)
        raise typer.Exit(2) from None
    enabled = [
        name
        for name in sections.__struct_fields__
        if name != "version" and getattr(sections, name) is not UNSET
    ]
    print(f"{file}: valid; on: {', '.join(enabled) or 'nothing'}")


@app.command(epilog="Example: crowwing settings schema > deploy/operator.schema.json")
def schema() -> None:
    """Writes the JSON Schema of the operator file."""
    sys.stdout.write(operator.schema().decode())
