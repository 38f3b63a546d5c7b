"""`crowwing fleet`: asks a running backend what it holds of the fleet, says something to all of it, and
plays a seeded script of faults on a fleet of our own.
"""

import socket
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import orjson
import typer
from rich.console import Console
from rich.table import Table

from crowwing.cli.say import failed, wrong_use
from crowwing.fleet.adapters.settings import FleetSettingsError, address

app = typer.Typer(no_args_is_help=True, help="A fleet's members and what they keep together.")
Where = Annotated[str, typer.Argument(help="The fleet socket of a running backend, a.b.c.d:port.")]
AsJson = Annotated[bool, typer.Option("--json", help="The answer as JSON on standard output.")]
Wait = Annotated[float, typer.Option(help="Seconds to wait for an answer.", min=0.1, max=60)]


def _ask(where: str, wait_s: float, **told: object) -> dict:
    try:
        at = address(where, "ADDRESS")
    except FleetSettingsError as wrong:
        wrong_use(wrong)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as asker:
        asker.settimeout(wait_s)
        try:
            asker.connect(at)
            asker.send(orjson.dumps(told | {"n": 1}))
            return orjson.loads(asker.recv(65536))
        except TimeoutError:
            failed(f"{where}: no answer within {wait_s:g} s")
        except OSError as wrong:
            failed(f"{where}: {wrong.strerror}")


def _json(told: object) -> None:
    sys.stdout.buffer.write(orjson.dumps(told, option=orjson.OPT_INDENT_2) + b"\n")


def _show(table: Table) -> None:
    console = Console()
    if not console.is_terminal:
        console.width = 110
    console.print(table)


@app.command(epilog="Example: crowwing fleet members 10.0.0.5:7946")
def members(where: Where, wait_s: Wait = 2.0, as_json: AsJson = False) -> None:
    """Who is alive, suspect or dead, as this member sees it."""
    view = _ask(where, wait_s, k="members")
    if as_json:
        return _json(view)
    ready = "ready" if view["ready"] else "catching up"
    table = Table(
        title=f"{view['me']}: {ready}{'' if view['whole'] else ', not whole'}, health {view['health']}"
    )
    for head in ("member", "state", "incarnation", "for s"):
        table.add_column(head, justify="left" if head in ("member", "state") else "right")
    for one in sorted(view["members"], key=lambda one: one["name"]):
        passed = f"{(view['at'] - one['since']) / 1e6:.0f}"
        table.add_row(one["name"], one["state"], str(one["incarnation"]), passed)
    _show(table)


@app.command(epilog="Example: crowwing fleet state 10.0.0.5:7946 --prefix said/")
def state(
    where: Where,
    prefix: Annotated[str, typer.Option(help="Only keys that begin so, such as said/ or zone/.")] = "",
    wait_s: Wait = 2.0,
    as_json: AsJson = False,
) -> None:
    """What this member keeps: every entry, who said it when, and when it runs out."""
    whole = _ask(where, wait_s, k="state", prefix=prefix)
    while whole["more"]:
        page = _ask(where, wait_s, k="state", prefix=prefix, after=whole["rows"][-1][0])
        whole["rows"] += page["rows"]
        whole["more"] = page["more"]
    if as_json:
        return _json(whole)
    table = Table(title=f"{whole['me']}: {whole['entries']} entries, root {whole['root']}")
    for head in ("key", "value", "said by", "at", "runs out in s"):
        table.add_column(head, justify="right" if head.startswith("runs") else "left", overflow="fold")
    for key, value, at, _, who, until in whole["rows"]:
        said = datetime.fromtimestamp(at / 1e6, UTC).strftime("%H:%M:%S.%f")[:-3]
        table.add_row(key, orjson.dumps(value).decode(), who, said, f"{(until - whole['time']) / 1e6:.0f}")
    return _show(table)


def _change(where: str, wait_s: float, as_json: bool, **told: object) -> None:
    """Exit 1 where no majority is known to hold it: it is kept there all the same, and spreads as it can."""
    answer = _ask(where, wait_s + 1, wait_ms=round(wait_s * 1000), **told)
    if "why" in answer:
        wrong_use(answer["why"])
    if as_json:
        _json(answer)
    elif answer["acked"]:
        print("held by a majority")
    if not answer["acked"]:
        failed(f"only {answer['held']} members are known to hold it so far; it spreads as others come")


@app.command(epilog="Example: crowwing fleet put 10.0.0.5:7946 said/incident '\"db slow\"' --life-s 3600")
def put(
    where: Where,
    key: Annotated[str, typer.Argument(help="said/..., or zone/...")],
    value: Annotated[str, typer.Argument(help="JSON, at most 512 bytes.")],
    life_s: Annotated[float, typer.Option(help="Until it runs out.", min=1, max=86400)] = 3600,
    wait_s: Wait = 2.0,
    as_json: AsJson = False,
) -> None:
    """Says something to the whole fleet; the later word on a key wins."""
    try:
        meant = orjson.loads(value)
    except orjson.JSONDecodeError as wrong:
        wrong_use(f"VALUE: no JSON: {wrong}")
    _change(where, wait_s, as_json, k="put", key=key, value=meant, life_ms=round(life_s * 1000))


@app.command(epilog="Example: crowwing fleet mark 10.0.0.5:7946 mark/held-out/m3")
def mark(
    where: Where,
    key: Annotated[str, typer.Argument(help="mark/SET/WHAT")],
    out: Annotated[bool, typer.Option("--out", help="Takes it out, as far as it is known there.")] = False,
    life_s: Annotated[float, typer.Option(help="Until it runs out.", min=1, max=86400)] = 3600,
    wait_s: Wait = 2.0,
    as_json: AsJson = False,
) -> None:
    """Puts something into a set that the whole fleet keeps, or takes it out; who puts it in meanwhile
    wins."""
    _change(where, wait_s, as_json, k="take_out" if out else "add", key=key, life_ms=round(life_s * 1000))


def _found(found: object, folder: Path, as_json: bool) -> None:
    told = found._asdict()
    if as_json:
        _json(told | {"folder": str(folder)})
    else:
        converged = (
            "not within 10 s" if found.converged_s is None else f"{found.converged_s} s after the last fault"
        )
        print(
            f"asked {found.asked}, acknowledged {found.acknowledged}, lost {len(found.lost)}, "
            f"differing {len(found.differing)}, agreed {converged}; {folder}"
        )
    if found.lost or found.differing or found.converged_s is None:
        failed(f"broken; again: crowwing fleet replay {folder}")


@app.command(epilog="Example: crowwing fleet play --seed 7 --out runs/fleet")
def play(
    seed: Annotated[int, typer.Option(help="Of asks, faults and clocks.")] = 1,
    size: Annotated[int, typer.Option(help="Backends.", min=3, max=20)] = 5,
    seconds: Annotated[float, typer.Option(help="Until everything is healed.", min=2, max=600)] = 8.0,
    out: Annotated[Path, typer.Option(help="Folder for the run.")] = Path("runs/fleet"),
    as_json: AsJson = False,
) -> None:
    """Plays a seeded script of faults on real backends, and checks what they promised."""
    from crowwing.emulator.fleet import fault_run

    _played(lambda: fault_run.FaultRun(out, fault_run.make_plan(seed, size, seconds)).run(), out, as_json)


@app.command(epilog="Example: crowwing fleet replay runs/fleet")
def replay(
    folder: Annotated[Path, typer.Argument(help="Of an earlier play.")],
    out: Annotated[Path, typer.Option(help="Folder for the new run.")] = Path("runs/replay"),
    as_json: AsJson = False,
) -> None:
    """Plays the asks and faults of an earlier run once more."""
    from crowwing.emulator.fleet import fault_run

    _played(lambda: fault_run.replay(folder, out), out, as_json)


def _played(run: object, out: Path, as_json: bool) -> None:
    try:
        found = run()
    except ValueError as wrong:
        wrong_use(wrong)
    except (OSError, TimeoutError) as wrong:
        failed(wrong)
    except KeyboardInterrupt:
        failed("ended before its time; every process it started has ended")
    _found(found, out, as_json)
