"""`crowwing emulate`: runs a fleet of real backends on loopback and reports the results of its requests."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Annotated

import msgspec
import orjson
import typer
import uvloop
from rich.console import Console
from rich.live import Live
from rich.table import Table
from rich.text import Text

from crowwing.cli.exit_status import exit_failed, exit_usage_error
from crowwing.emulator import emulation_run, run_report
from crowwing.emulator.plan import HABITS, Plan, PlanError, check, read
from crowwing.settings import operator_file

EXAMPLE = "Example: crowwing emulate deploy/demo.json --seed 3 --habit capped"


def emulate(
    plan: Annotated[Path | None, typer.Argument(help="The plan, JSON; default: all defaults.")] = None,
    faults: Annotated[Path | None, typer.Option(help="A file of faults, instead of the plan's.")] = None,
    out: Annotated[
        Path, typer.Option(help="Folder for the results; those of an earlier run are replaced.")
    ] = Path("runs/emulation"),
    seed: Annotated[int | None, typer.Option(help="Instead of the plan's.")] = None,
    seconds: Annotated[float | None, typer.Option(help="Seconds of traffic, instead of the plan's.")] = None,
    backends: Annotated[int | None, typer.Option(help="Instead of the plan's.")] = None,
    load: Annotated[
        float | None,
        typer.Option(help="Load as a fraction of the capacity of all cores, instead of the plan's."),
    ] = None,
    habit: Annotated[str | None, typer.Option(help=f"How the sidecars behave: {', '.join(HABITS)}.")] = None,
    net: Annotated[str | None, typer.Option(help="First two bytes of the addresses, such as 127.40.")] = None,
    program: Annotated[Path | None, typer.Option(help="Another checkout, whose backend is run.")] = None,
    operator: Annotated[Path | None, typer.Option(help="An operator file for the backends.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="The result as JSON on standard output.")] = False,
) -> None:
    """Runs a fleet on loopback, with faults, and checks the four rules against its records."""
    try:
        plan_data = _apply_options(read(plan, faults), seed, seconds, backends, load, habit)
        folder = emulation_run.fresh_folder(out)
    except (PlanError, emulation_run.EmulationStartError) as error:
        exit_usage_error(error)
    except OSError as error:
        exit_failed(f"{out}: {error.strerror}")
    if net is not None and not _loopback(net):
        exit_usage_error(f"--net {net}: not the start of a loopback address, such as 127.40")
    if program is not None and not (program / "crowwing" / "__main__.py").exists():
        exit_usage_error(f"--program {program}: not a checkout of crowwing")
    if operator is not None:
        try:
            operator_file.load(operator)
        except operator_file.OperatorFileError as error:
            exit_usage_error(str(error).splitlines()[0])
    result = _play(plan_data, folder, net, program, operator, as_json)
    if as_json:
        sys.stdout.buffer.write(orjson.dumps(result, option=orjson.OPT_INDENT_2) + b"\n")
    else:
        _print(result)
    if result["breaches"] or result["late_part"] is not None:
        raise typer.Exit(1)


def _apply_options(
    plan: Plan,
    seed: int | None,
    seconds: float | None,
    backends: int | None,
    load: float | None,
    habit: str | None,
) -> Plan:
    """Applies the options of the command line to the plan, and checks the result like a file."""
    plan_data = msgspec.to_builtins(plan)
    for name, value in {"seed": seed, "seconds": seconds, "backends": backends}.items():
        if value is not None:
            plan_data[name] = value
    if load is not None:
        plan_data["traffic"]["load"] = load
    if habit is not None:
        plan_data["sidecars"]["habit"] = habit
    try:
        return check(msgspec.convert(plan_data, Plan))
    except ValueError as error:
        raise PlanError(f"options: {error}") from None


def _loopback(net: str) -> bool:
    first, _, second = net.partition(".")
    return first == "127" and second.isdigit() and int(second) < 256


def _play(
    plan: Plan, folder: Path, net: str | None, program: Path | None, operator: Path | None, quiet: bool
) -> dict:
    console = Console(stderr=True)
    is_shown = console.is_terminal and not quiet
    with (
        Live(Text(""), console=console, refresh_per_second=4, transient=True)
        if is_shown
        else _Still() as live
    ):
        show = (lambda now: live.update(_progress_line(plan, now))) if is_shown else (lambda _: None)
        emulation = emulation_run.EmulationRun(
            plan, folder, net, program and program.resolve(), operator and operator.resolve(), show
        )
        try:
            truth = uvloop.run(_play_until_signal(emulation))
        except OSError as error:
            exit_failed(f"an address is already taken: {error}")
        except emulation_run.EmulationStartError as error:
            exit_failed(error)
        except (asyncio.CancelledError, KeyboardInterrupt):
            exit_failed("interrupted; all processes that it started have ended")
    result = run_report.build_report(plan, truth, emulation.excessive_lateness(), str(folder))
    (folder / "result.json").write_bytes(orjson.dumps(result, option=orjson.OPT_INDENT_2))
    return result


async def _play_until_signal(emulation: emulation_run.EmulationRun) -> object:
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    return await emulation.run()


class _Still:
    """Shows nothing, for output that is not a terminal."""

    def __enter__(self) -> "_Still":
        return self

    def __exit__(self, *_: object) -> None:
        pass


def _progress_line(plan: Plan, now: emulation_run.Progress) -> Text:
    done = min(1.0, now.seconds / plan.seconds)
    bar = "█" * round(30 * done) + "░" * (30 - round(30 * done))
    faults = f"  fault: {', '.join(now.faults)}" if now.faults else ""
    return Text(
        f"{bar} {now.seconds:4.0f} of {plan.seconds:.0f} s  backends {now.up}/{plan.backends}  "
        f"requests {now.requests}  "
        f"completed {now.completed}  open {now.open}  attempts {now.attempts}{faults}"
    )


def _print(result: dict) -> None:
    console = Console()
    table = Table(title=f"{result['backends']} backends, load {result['load']}, sidecars {result['habit']}")
    heads = "phase, s, in time, worst 10 s, requests, attempts, rejected, failed, p50 ms, p99 ms"
    for name in heads.split(", "):
        table.add_column(name, justify="left" if name == "phase" else "right", no_wrap=True)
    for row in result["phases"]:
        shares = (f"{row['begin']:.0f}-{row['end']:.0f}", f"{row['in_time']:.1%}", f"{row['worst']:.1%}")
        counts = (str(row["tickets"]), f"{row['tries']:.2f}", str(row["dismissed"]), str(row["forfeited"]))
        table.add_row(row["name"], *shares, *counts, f"{row['median_ms']:.0f}", f"{row['p99_ms']:.0f}")
    if not console.is_terminal:
        console.width = 110
    console.print(table)
    console.print(
        "in time: value completed within the latency target; attempts: per request, including client retries"
    )
    if result["recovery_s"] is not None:
        console.print(
            f"Recovered to 95% of the earlier level {result['recovery_s']:.0f} s after the last fault's end."
        )
    elif result["faults"]:
        console.print("Did not recover to 95% of the earlier level for good by the end.")
    for breach in result["breaches"][:10]:
        console.print(f"Rule {breach['rule']} violated: {breach['backend']} {breach['id']}: {breach['what']}")
    total = len(result["breaches"])
    console.print(f"Rules violated {total} times." if total else "No rule violated.")
    if result["late_part"] is not None:
        console.print(f"Invalid: the emulator itself was late in {result['late_part']:.0%} of its checks.")
    console.print(
        f"Results: {result['folder']} (truth.jsonl, one log per backend, result.json)", soft_wrap=True
    )
