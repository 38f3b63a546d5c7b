"""Shows where a day's value is lost: `python -m benchmarks.worth REPORT... [--log FILE] [--plot FILE]`.

Reads reports of the users' bench (`run --report FILE`) and prints how much of the day's value was lost, by
request class, by the clients' zone, by second, by outcome of the attempts and by price; given the bench's
output (`run --log`), also what the fronts rejected in each second and their load. `--plot` draws the loss by
second.
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
OLD_ADMISSION_LINE = re.compile(  # of logs that were written before the fields were named
    r"^\s*(?P<at>-?\d+\.\d+) (?P<front>\S+) .*refused (?P<rejected>\d+), cut (?P<threshold>[\d.]+), "
    r"limit (?P<limit>\d+) of \d+, inflight (?P<inflight>\d+), held (?P<queued>\d+), "
    r"sidecars (?P<running>\d+)\+(?P<waiting>\d+) of (?P<slots>\d+)"
)
WORST_SECONDS = 8


@dataclass(frozen=True)
class Loss:
    """The requests of one part of a day, and the share of the day's total value that was lost there."""

    name: str
    requested: int
    late: int
    refused: int
    failed: int
    share: float


@dataclass(frozen=True)
class DayLosses:
    """All losses of one day."""

    title: str
    value: float
    served: float
    classes: list[Loss]
    zones: list[Loss]
    seconds: list[Loss]
    prices: list[tuple[str, float, float]]  # name, amount, value lost
    outcomes: dict[str, int]
    hints: list[str]


def read_losses(groups: Iterable[dict[str, Any]]) -> list[Loss]:
    """The losses of a list of parts, weighted by their requests."""
    group_list = list(groups)
    requested = sum(group["n"] for group in group_list) or 1
    return [
        Loss(
            str(group["name"]), group["n"], group["late"], group["refused"], group["failed"],
            group["n"] / requested * (1 - (group["worth"] or 0.0)),
        )
        for group in group_list
    ]  # fmt: skip


def read_report(path: Path) -> DayLosses:
    """One report of the bench; raises OSError, ValueError or KeyError."""
    report = json.loads(path.read_text())
    return DayLosses(
        path.stem, report["G"], report["served"], read_losses(report["classes"]),
        read_losses(report["zones"]), read_losses(report["windows"]),
        [(name, amount, value) for name, amount, value in report["prices"] if value > 0],
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
    """The fronts' admission lines by second; the load is that of the front with the most waiting requests."""
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
        f"{loss.name:<18} {loss.requested:7} {loss.late:6} {loss.refused:7} {loss.failed:6} {loss.share:7.4f}"
        for loss in losses
    ]
    return lines


def describe(day: DayLosses) -> str:
    """The tables of one day."""
    lines = [f"{day.title}: value {day.value:.3f}, served {day.served:.3f}"]
    lines += _table("kind", day.classes)
    lines += _table("zone", day.zones)
    worst = sorted(day.seconds, key=lambda loss: -loss.share)[:WORST_SECONDS]
    lines += _table("worst seconds", worst)
    outcomes = Counter(day.outcomes).most_common()
    lines.append("attempts: " + ", ".join(f"{name} {count}" for name, count in outcomes))
    lines += [
        f"price {name}: {value:.4f} for {amount:g}"
        for name, amount, value in sorted(day.prices, key=lambda price: -price[2])
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
    """Draws the share of the value that is lost in each window of the days."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    for day in days:
        axes.step([float(x.name) for x in day.seconds], [x.share for x in day.seconds], label=day.title)
    axes.set_xlabel("second of traffic")
    axes.set_ylabel("part of the day's value that is lost")
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
