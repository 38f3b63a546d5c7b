"""The command line: a file a group of sub-commands. It parses, calls and prints; it decides nothing."""

import sys

import typer

from crowwing.cli import emulate, fleet, serve, settings

app = typer.Typer(
    name="crowwing", no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False,
    help="Decides, inside each server of a fleet, what it takes, runs and turns away; and tries that out.",
)  # fmt: skip
app.command("serve", epilog=serve.EXAMPLE)(serve.serve)
app.command("emulate", epilog=emulate.EXAMPLE)(emulate.emulate)
app.add_typer(fleet.app, name="fleet")
app.add_typer(settings.app, name="settings")


def main() -> int:
    """0 done, 1 failed, 2 wrong use."""
    try:
        return app(standalone_mode=False) or 0
    except typer.TyperException as error:
        print(f"crowwing: {error.format_message()}", file=sys.stderr)
        return error.exit_code
    except (KeyboardInterrupt, typer.Abort):
        print("crowwing: ended", file=sys.stderr)
        return 1
