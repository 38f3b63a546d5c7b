"""Where a day's worth is lost: `python -m benchmarks.worth REPORT... [--log FILE] [--plot FILE]`.

Reads reports of the users' bench (`run --report FILE`) and prints for each how much of the day's worth was
lost, by kind of request, by clients' zone, by second, by how tries ended and price by price; with the bench's
output beside it (`run --log`), also what the fronts rejected in each second and why. `--plot` draws the loss
by second.
"""

import argparse
import json
import re
import sys
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ADMISSION_LINE = re.compile(
    r"^\s*(?P<at>-?\d+\.\d+) (?P<front>\S+) .*admission service=\S+ rejected=(?P<rejected>\d+) "
    r"priority_threshold=(?P<threshold>[\d.]+) limit=(?P<limit>\d+) max_limit=\d+ inflight=(?P<inflight>\d+) "
    r"queued=(?P<queued>\d+) running=(?P<running>\d+) waiting=(?P<waiting>\d+) slots=(?P<slots>\d+)"
)
OLD_ADMISSION_LINE = re.compile(  # of logs that were written before the fields had names
    r"^\s*(?P<at>-?\d+\.\d+) (?P<front>\S+) .*refused (?P<rejected>\d+), cut (?P<threshold>[\d.]+), "
    r"limit (?P<limit>\d+) of \d+, inflight (?P<inflight>\d+), held (?P<queued>\d+), "
    r"sidecars (?P<running>\d+)\+(?P<waiting>\d+) of (?P<slots>\d+)"
)
WORST_SECONDS = 8


@dataclass(frozen=True)
class Loss:
    """The requests of one part of a day, and the share of all worth owed that was lost there."""

    name: str
    asked: int
    late: int
    refused: int
    failed: int
    share: float


@dataclass(frozen=True)
class DayLosses:
    """All losses of one played day."""

    title: str
    worth: float
    served: float
    classes: list[Loss]
    zones: list[Loss]
    seconds: list[Loss]
    prices: list[tuple[str, float, float]]  # name, amount, worth
    ends: dict[str, int]
    hints: list[str]


def read_losses(entries: Iterable[dict[str, Any]]) -> list[Loss]:
    """The losses of a list of parts, each weighed by its requests."""
    entries_list = list(entries)
    asked = sum(part["n"] for part in entries_list) or 1
    return [
        Loss(
            str(part["name"]), part["n"], part["late"], part["refused"], part["failed"],
            part["n"] / asked * (1 - (part["worth"] or 0.0)),
        )
        for part in entries_list
    ]  # fmt: skip


def read_report(path: Path) -> DayLosses:
    """One report of the bench; raises OSError, ValueError or KeyError."""
    report = json.loads(path.read_text())
    return DayLosses(
        path.stem, report["G"], report["served"], read_losses(report["classes"]),
        read_losses(report["zones"]), read_losses(report["windows"]),
        [(name, amount, worth) for name, amount, worth in report["prices"] if worth > 0],
        report["ends"], report["hints"],
    )  # fmt: skip


@dataclass
class FrontsSecond:
    """What the fronts logged in one second."""

    fronts: int = 0
    rejected: int = 0
    queued: int = 0
    running: int = 0
    waiting: int = 0
    slots: int = 0


def read_front_log(text: str) -> dict[int, FrontsSecond]:
    """The fronts' lines of admission by second; loads are those of the front that saw most waiting."""
    seconds: dict[int, FrontsSecond] = {}
    for line in text.splitlines():
        match = ADMISSION_LINE.match(line) or OLD_ADMISSION_LINE.match(line)
        if match is None:
            continue
        second = seconds.setdefault(int(float(match["at"])), FrontsSecond())
        second.fronts += 1
        second.rejected += int(match["rejected"])
        second.queued += int(match["queued"])
        if int(match["waiting"]) >= second.waiting:
            second.running, second.waiting = int(match["running"]), int(match["waiting"])
            second.slots = int(match["slots"])
    return seconds


def _table(head: str, losses: Iterable[Loss]) -> list[str]:
    lines = [f"{head:<18} {'asked':>7} {'late':>6} {'refused':>7} {'failed':>6} {'lost':>7}"]
    lines += [
        f"{loss.name:<18} {loss.asked:7} {loss.late:6} {loss.refused:7} {loss.failed:6} {loss.share:7.4f}"
        for loss in losses
    ]
    return lines


def describe(day: DayLosses) -> str:
    """The tables of one day."""
    lines = [f"{day.title}: worth {day.worth:.3f}, served {day.served:.3f}"]
    lines += _table("kind", day.classes)
    lines += _table("zone", day.zones)
    worst = sorted(day.seconds, key=lambda loss: -loss.share)[:WORST_SECONDS]
    lines += _table("worst seconds", worst)
    ends = Counter(day.ends).most_common()
    lines.append("tries: " + ", ".join(f"{name} {count}" for name, count in ends))
    lines += [
        f"price {name}: {worth:.4f} for {amount:g}"
        for name, amount, worth in sorted(day.prices, key=lambda price: -price[2])
    ]
    return "\n".join(lines + [f"seen: {hint}" for hint in day.hints])


def describe_fronts(seconds: dict[int, FrontsSecond]) -> str:
    """What the fronts rejected, second by second."""
    lines = [f"{'second':>6} {'fronts':>6} {'rejected':>8} {'queued':>6}  at sidecars"]
    for second, logged in sorted(seconds.items()):
        load = f"{logged.running}+{logged.waiting} of {logged.slots}"
        lines.append(f"{second:6} {logged.fronts:6} {logged.rejected:8} {logged.queued:6}  {load}")
    return "\n".join(lines)


def plot(days: list[DayLosses], path: Path) -> None:
    """Draws the share of the worth that is lost in each window of the days."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    for day in days:
        axes.step([float(x.name) for x in day.seconds], [x.share for x in day.seconds], label=day.title)
    axes.set_xlabel("second of traffic")
    axes.set_ylabel("part of the day's worth that is lost")
    axes.legend()
    figure.savefig(path)


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("reports", nargs="+", type=Path, help="reports of the bench, JSON")
    parser.add_argument("--log", type=Path, help="the bench's output with the fronts' lines")
    parser.add_argument("--plot", type=Path, help="a picture of the loss by second")
    options = parser.parse_args()
    try:
        days = [read_report(path) for path in options.reports]
    except (OSError, ValueError, KeyError) as error:
        print(f"worth: {type(error).__name__}: {error}", file=sys.stderr)
        return 1
    print("\n\n".join(describe(day) for day in days))
    if options.log is not None:
        print(describe_fronts(read_front_log(options.log.read_text())))
    if options.plot is not None:
        plot(days, options.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
