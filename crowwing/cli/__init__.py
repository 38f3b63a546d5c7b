"""The command line, with one module per group of commands; it only parses, calls and prints."""

import sys

import typer

from crowwing.cli import emulate, fleet, serve, settings

app = typer.Typer(
    name="crowwing", no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False,
    help="Admission control inside each server of a fleet, and an emulator to test it.",
)  # fmt: skip
app.command("serve", epilog=serve.EXAMPLE)(serve.serve)
app.command("emulate", epilog=emulate.EXAMPLE)(emulate.emulate)
app.add_typer(fleet.app, name="fleet")
app.add_typer(settings.app, name="settings")


def main() -> int:
    """Returns 0 for success, 1 for failure, 2 for wrong usage."""
    try:
        return app(standalone_mode=False) or 0
    except typer.TyperException as error:
        print(f"crowwing: {error.format_message()}", file=sys.stderr)
        return error.exit_code
    except (KeyboardInterrupt, typer.Abort):
        print("crowwing: interrupted", file=sys.stderr)
        return 1
