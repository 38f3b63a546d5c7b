"""`crowwing emulate`: plays a fleet of real backends on loopback and says what became of its tickets."""

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

from crowwing.cli.say import failed, wrong_use
from crowwing.emulator import emulation_run, run_report
from crowwing.emulator.plan import HABITS, Plan, PlanError, check, read
from crowwing.settings import plain

EXAMPLE = "Example: crowwing emulate deploy/demo.json --seed 3 --habit capped"


def emulate(
    plan: Annotated[Path | None, typer.Argument(help="The plan, JSON; without one, all defaults.")] = None,
    faults: Annotated[Path | None, typer.Option(help="A script of faults, in place of the plan's.")] = None,
    out: Annotated[
        Path, typer.Option(help="Folder for the records; an earlier emulation's is replaced.")
    ] = Path("runs/emulation"),
    seed: Annotated[int | None, typer.Option(help="In place of the plan's.")] = None,
    seconds: Annotated[float | None, typer.Option(help="Of traffic, in place of the plan's.")] = None,
    backends: Annotated[int | None, typer.Option(help="In place of the plan's.")] = None,
    load: Annotated[
        float | None, typer.Option(help="Part of what all cores can do, in place of the plan's.")
    ] = None,
    habit: Annotated[str | None, typer.Option(help=f"Of the sidecars: {', '.join(HABITS)}.")] = None,
    net: Annotated[
        str | None, typer.Option(help="First two numbers of the addresses, such as 127.40.")
    ] = None,
    program: Annotated[Path | None, typer.Option(help="Another checkout whose backend is played.")] = None,
    operator: Annotated[Path | None, typer.Option(help="An operator file for the backends.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="The result as JSON on standard output.")] = False,
) -> None:
    """Plays a whole fleet on loopback, with faults, and checks the four rules on what really happened."""
    try:
        told = _changed(read(plan, faults), seed, seconds, backends, load, habit)
        folder = emulation_run.fresh_folder(out)
    except (PlanError, emulation_run.EmulationStartError) as wrong:
        wrong_use(wrong)
    except OSError as wrong:
        failed(f"{out}: {wrong.strerror}")
    if net is not None and not _loopback(net):
        wrong_use(f"--net {net}: no loopback addresses, such as 127.40")
    if program is not None and not (program / "crowwing" / "__main__.py").exists():
        wrong_use(f"--program {program}: no checkout of crowwing")
    if operator is not None:
        try:
            plain.load(operator)
        except plain.BadOperator as wrong:
            wrong_use(str(wrong).splitlines()[0])
    result = _play(told, folder, net, program, operator, as_json)
    if as_json:
        sys.stdout.buffer.write(orjson.dumps(result, option=orjson.OPT_INDENT_2) + b"\n")
    else:
        _print(result)
    if result["breaches"] or result["late_part"] is not None:
        raise typer.Exit(1)


def _changed(
    plan: Plan,
    seed: int | None,
    seconds: float | None,
    backends: int | None,
    load: float | None,
    habit: str | None,
) -> Plan:
    """The plan with what the command line says otherwise, checked again as a file would be."""
    told = msgspec.to_builtins(plan)
    for name, value in {"seed": seed, "seconds": seconds, "backends": backends}.items():
        if value is not None:
            told[name] = value
    if load is not None:
        told["traffic"]["load"] = load
    if habit is not None:
        told["sidecars"]["habit"] = habit
    try:
        return check(msgspec.convert(told, Plan))
    except ValueError as wrong:
        raise PlanError(f"options: {wrong}") from None


def _loopback(net: str) -> bool:
    first, _, second = net.partition(".")
    return first == "127" and second.isdigit() and int(second) < 256


def _play(
    plan: Plan, folder: Path, net: str | None, program: Path | None, operator: Path | None, quiet: bool
) -> dict:
    console = Console(stderr=True)
    shows = console.is_terminal and not quiet
    with Live(Text(""), console=console, refresh_per_second=4, transient=True) if shows else _Still() as live:
        show = (lambda now: live.update(_line(plan, now))) if shows else (lambda _: None)
        run = emulation_run.EmulationRun(
            plan, folder, net, program and program.resolve(), operator and operator.resolve(), show
        )
        try:
            truth = uvloop.run(_run_until_signalled(run))
        except OSError as wrong:
            failed(f"an address is taken: {wrong}")
        except emulation_run.EmulationStartError as wrong:
            failed(wrong)
        except (asyncio.CancelledError, KeyboardInterrupt):
            failed("ended before its time; every process it started has ended")
    result = run_report.build_report(plan, truth, run.excessive_lateness(), str(folder))
    (folder / "result.json").write_bytes(orjson.dumps(result, option=orjson.OPT_INDENT_2))
    return result


async def _run_until_signalled(run: emulation_run.EmulationRun) -> object:
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    return await run.run()


class _Still:
    """Nothing is shown into a pipe."""

    def __enter__(self) -> "_Still":
        return self

    def __exit__(self, *_: object) -> None:
        pass


def _line(plan: Plan, now: emulation_run.Progress) -> Text:
    done = min(1.0, now.seconds / plan.seconds)
    bar = "█" * round(30 * done) + "░" * (30 - round(30 * done))
    faults = f"  fault: {', '.join(now.faults)}" if now.faults else ""
    return Text(
        f"{bar} {now.seconds:4.0f} of {plan.seconds:.0f} s  backends {now.up}/{plan.backends}  "
        f"tickets {now.requests}  settled {now.completed}  open {now.open}  tries {now.attempts}{faults}"
    )


def _print(result: dict) -> None:
    console = Console()
    table = Table(title=f"{result['backends']} backends, load {result['load']}, sidecars {result['habit']}")
    heads = "phase, s, in time, worst 10 s, tickets, tries, dismissed, forfeited, p50 ms, p99 ms"
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
        "in time: credit answered within the expected time; tries: of one ticket, a client's repeats too"
    )
    if result["recovery_s"] is not None:
        console.print(
            f"Back to 95% of the level before {result['recovery_s']:.0f} s after the last fault's end."
        )
    elif result["faults"]:
        console.print("Not back for good to 95% of the level before by the end.")
    for breach in result["breaches"][:10]:
        console.print(f"Rule {breach['rule']} broken: {breach['backend']} {breach['id']}: {breach['what']}")
    total = len(result["breaches"])
    console.print(f"Rules broken {total} times." if total else "All four rules kept.")
    if result["late_part"] is not None:
        console.print(f"Void: the emulator itself was late in {result['late_part']:.0%} of its looks.")
    console.print(f"Records: {result['folder']} (truth.jsonl, a log a backend, result.json)", soft_wrap=True)
