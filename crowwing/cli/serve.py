"""`crowwing serve`: one backend, as the platform's `run` starts it."""

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
    """Serves as one backend until SIGTERM drains it."""
    os.environ["PROXY_CONFIG"] = str(configuration)
    if operator is not None:
        os.environ["CROWWING_OPERATOR"] = str(operator)
    # A process of its own kind: none of the command line's libraries stay in its memory.
    os.execv(sys.executable, [sys.executable, "-O", "-m", "crowwing"])
