"""`crowwing fleet`: shows and changes the replicated state of a running fleet, and runs emulated fleets with
seeded faults.
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

from crowwing.cli.exit_status import exit_failed, exit_usage_error
from crowwing.fleet.adapters.settings import FleetSettingsError, address

app = typer.Typer(no_args_is_help=True, help="The members of a fleet and their replicated state.")
Where = Annotated[str, typer.Argument(help="The fleet socket of a running backend, a.b.c.d:port.")]
AsJson = Annotated[bool, typer.Option("--json", help="The answer as JSON on standard output.")]
Wait = Annotated[float, typer.Option(help="Seconds to wait for an answer.", min=0.1, max=60)]


def _request(where: str, wait_s: float, **values: object) -> dict:
    try:
        at = address(where, "ADDRESS")
    except FleetSettingsError as error:
        exit_usage_error(error)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.settimeout(wait_s)
        try:
            sock.connect(at)
            sock.send(orjson.dumps(values | {"n": 1}))
            return orjson.loads(sock.recv(65536))
        except TimeoutError:
            exit_failed(f"{where}: no answer within {wait_s:g} s")
        except OSError as error:
            exit_failed(f"{where}: {error.strerror}")


def _json(values: object) -> None:
    sys.stdout.buffer.write(orjson.dumps(values, option=orjson.OPT_INDENT_2) + b"\n")


def _show(table: Table) -> None:
    console = Console()
    if not console.is_terminal:
        console.width = 110
    console.print(table)


@app.command(epilog="Example: crowwing fleet members 10.0.0.5:7946")
def members(where: Where, wait_s: Wait = 2.0, as_json: AsJson = False) -> None:
    """Lists the members that are alive, suspect or dead, as seen by this member."""
    view = _request(where, wait_s, k="members")
    if as_json:
        return _json(view)
    ready = "ready" if view["ready"] else "catching up"
    table = Table(
        title=f"{view['me']}: {ready}{'' if view['whole'] else ', incomplete'}, health {view['health']}"
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
    prefix: Annotated[str, typer.Option(help="Only keys with this prefix, such as said/ or zone/.")] = "",
    wait_s: Wait = 2.0,
    as_json: AsJson = False,
) -> None:
    """Lists the replicated entries of this member, with author, time and expiry."""
    answer = _request(where, wait_s, k="state", prefix=prefix)
    while answer["more"]:
        page = _request(where, wait_s, k="state", prefix=prefix, after=answer["rows"][-1][0])
        answer["rows"] += page["rows"]
        answer["more"] = page["more"]
    if as_json:
        return _json(answer)
    table = Table(title=f"{answer['me']}: {answer['entries']} entries, root {answer['root']}")
    for head in ("key", "value", "author", "at", "runs out in s"):
        table.add_column(head, justify="right" if head.startswith("runs") else "left", overflow="fold")
    for key, value, at, _, who, until in answer["rows"]:
        said = datetime.fromtimestamp(at / 1e6, UTC).strftime("%H:%M:%S.%f")[:-3]
        table.add_row(key, orjson.dumps(value).decode(), who, said, f"{(until - answer['time']) / 1e6:.0f}")
    return _show(table)


def _change(where: str, wait_s: float, as_json: bool, **values: object) -> None:
    """Exits with 1 if no majority has acknowledged the entry; it is stored and disseminated nevertheless."""
    answer = _request(where, wait_s + 1, wait_ms=round(wait_s * 1000), **values)
    if "why" in answer:
        exit_usage_error(answer["why"])
    if as_json:
        _json(answer)
    elif answer["acked"]:
        print("held by a majority")
    if not answer["acked"]:
        exit_failed(f"only {answer['held']} members have acknowledged it so far; dissemination continues")


@app.command(epilog="Example: crowwing fleet put 10.0.0.5:7946 said/incident '\"db slow\"' --life-s 3600")
def put(
    where: Where,
    key: Annotated[str, typer.Argument(help="said/..., or zone/...")],
    value: Annotated[str, typer.Argument(help="JSON, at most 512 bytes.")],
    life_s: Annotated[float, typer.Option(help="Seconds until it expires.", min=1, max=86400)] = 3600,
    wait_s: Wait = 2.0,
    as_json: AsJson = False,
) -> None:
    """Sets a key on all members; of two writes to a key the later one wins."""
    try:
        json_value = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        exit_usage_error(f"VALUE: not valid JSON: {error}")
    _change(where, wait_s, as_json, k="put", key=key, value=json_value, life_ms=round(life_s * 1000))


@app.command(epilog="Example: crowwing fleet mark 10.0.0.5:7946 mark/held-out/m3")
def mark(
    where: Where,
    key: Annotated[str, typer.Argument(help="mark/SET/WHAT")],
    out: Annotated[bool, typer.Option("--out", help="Removes it, as far as that member knows it.")] = False,
    life_s: Annotated[float, typer.Option(help="Seconds until it expires.", min=1, max=86400)] = 3600,
    wait_s: Wait = 2.0,
    as_json: AsJson = False,
) -> None:
    """Adds an element to a replicated set, or removes it; a concurrent addition wins over a
    removal."""
    _change(where, wait_s, as_json, k="take_out" if out else "add", key=key, life_ms=round(life_s * 1000))


def _print_result(found: object, folder: Path, as_json: bool) -> None:
    values = found._asdict()
    if as_json:
        _json(values | {"folder": str(folder)})
    else:
        converged = (
            "not within 10 s" if found.converged_s is None else f"{found.converged_s} s after the last fault"
        )
        print(
            f"requested {found.asked}, acknowledged {found.acknowledged}, lost {len(found.lost)}, "
            f"differing {len(found.differing)}, agreed {converged}; {folder}"
        )
    if found.lost or found.differing or found.converged_s is None:
        exit_failed(f"guarantees violated; to repeat: crowwing fleet replay {folder}")


@app.command(epilog="Example: crowwing fleet play --seed 7 --out runs/fleet")
def play(
    seed: Annotated[int, typer.Option(help="Of requests, faults and clocks.")] = 1,
    size: Annotated[int, typer.Option(help="Backends.", min=3, max=20)] = 5,
    seconds: Annotated[
        float, typer.Option(help="Seconds until all faults are healed.", min=2, max=600)
    ] = 8.0,
    out: Annotated[Path, typer.Option(help="Folder for the run.")] = Path("runs/fleet"),
    as_json: AsJson = False,
) -> None:
    """Runs real backends with seeded faults, and checks their guarantees."""
    from crowwing.emulator.fleet import fault_run

    _run_play(lambda: fault_run.FaultRun(out, fault_run.make_plan(seed, size, seconds)).run(), out, as_json)


@app.command(epilog="Example: crowwing fleet replay runs/fleet")
def replay(
    folder: Annotated[Path, typer.Argument(help="Folder of an earlier run.")],
    out: Annotated[Path, typer.Option(help="Folder for the new run.")] = Path("runs/replay"),
    as_json: AsJson = False,
) -> None:
    """Repeats the requests and faults of an earlier run."""
    from crowwing.emulator.fleet import fault_run

    _run_play(lambda: fault_run.replay(folder, out), out, as_json)


def _run_play(run: object, out: Path, as_json: bool) -> None:
    try:
        found = run()
    except ValueError as error:
        exit_usage_error(error)
    except (OSError, TimeoutError) as error:
        exit_failed(error)
    except KeyboardInterrupt:
        exit_failed("interrupted; all processes that it started have ended")
    _print_result(found, out, as_json)
