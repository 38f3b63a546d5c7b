"""`crowwing serve`: starts one backend as the platform does."""

import os
import sys
from pathlib import Path
from typing import Annotated

import typer

EXAMPLE = "Example: crowwing serve deploy/example.json --operator deploy/operator.json"


def serve(
    configuration: Annotated[Path, typer.Argument(help="The backend's configuration, JSON.")],
    operator: Annotated[Path | None, typer.Option(help="The operator file, JSON.")] = None,
) -> None:
    """Runs one backend until SIGTERM drains it."""
    os.environ["PROXY_CONFIG"] = str(configuration)
    if operator is not None:
        os.environ["CROWWING_OPERATOR"] = str(operator)
    # Replaces this process, so that the libraries of the command line take no memory.
    os.execv(sys.executable, [sys.executable, "-O", "-m", "crowwing"])
