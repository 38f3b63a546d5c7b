"""Compares two versions on unseen deployments: `python -m benchmarks.unseen BENCH VARY SITE ...`.

VARY is the program that writes a variant of a site file from a seed. Both checkouts run each variant's days
with the same seed; the paired differences of value and the broken rules are printed. The marks of a variant
have no meaning, so the value before marks is compared.
"""

import argparse
import json
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

DAYS = ("quiet-1", "trouble-1", "scale-1")


@dataclass(frozen=True)
class DayResult:
    """One day of one variant, run by one version."""

    value: float
    served: float
    broken: tuple[str, ...]


@dataclass(frozen=True)
class ResultPair:
    """The same day, run by the old and the new version."""

    title: str
    old: DayResult
    new: DayResult

    @property
    def gain(self) -> float:
        """The additional value of the new version, as a share of the total value."""
        return self.new.value - self.old.value


def write_variant(vary_program: Path, site: Path, seed: int, folder: Path) -> Path:
    """Writes a variant of a site file; gives its path. Raises CalledProcessError."""
    target = folder / f"{site.stem}-{seed}"
    subprocess.run(
        [sys.executable, str(vary_program), str(site), str(seed), str(target)],
        check=True,
        capture_output=True,
    )
    return target / f"{site.stem}-{seed}.toml"


def run_day(bench: Path, checkout: Path, site: Path, day: str, small: bool) -> DayResult:
    """Runs one day in a checkout; raises OSError or ValueError if there is no report."""
    report = site.with_name(f"{checkout.name}-{day}.json")
    command = [
        str(bench),
        "run",
        str(site),
        day,
        "--no-cpu",
        "--report",
        str(report),
        "--why",
        "an unseen deployment",
    ]
    subprocess.run([*command, *(["--small"] if small else [])], cwd=checkout, capture_output=True)
    result = json.loads(report.read_text())
    broken = tuple(result["breaks"]) + ((str(result["fault"]),) if result["fault"] else ())
    return DayResult(result["G"], result["served"], broken)


def describe(pairs: list[ResultPair]) -> str:
    """One line per pair, and a summary."""
    lines = [f"{'variant and day':<36} {'old':>7} {'new':>7} {'gain':>8}  rules broken (old; new)"]
    for pair in pairs:
        rules = "; ".join(",".join(x.broken) or "none" for x in (pair.old, pair.new))
        lines.append(
            f"{pair.title:<36} {pair.old.value:7.3f} {pair.new.value:7.3f} {pair.gain:+8.3f}  {rules}"
        )
    gains = [pair.gain for pair in pairs]
    if len(gains) > 1:
        error = statistics.stdev(gains) / len(gains) ** 0.5
        better = sum(gain > 0 for gain in gains)
        lines.append(
            f"mean gain {statistics.mean(gains):+.3f} +- {error:.3f}, better in {better} of {len(gains)}"
        )
    return "\n".join(lines)


def plot(pairs: list[ResultPair], path: Path) -> None:
    """Draws the paired gains."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 1 + 0.3 * len(pairs)))
    axes.barh([pair.title for pair in pairs], [pair.gain for pair in pairs])
    axes.set_xlabel("value gained by the new version")
    figure.tight_layout()
    figure.savefig(path)


def parse_seeds(text: str) -> range:
    """`A-B`, both included; raises ValueError."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("bench", type=Path)
    parser.add_argument("vary", type=Path)
    parser.add_argument("sites", nargs="+", type=Path)
    parser.add_argument("--old", type=Path, required=True, help="a checkout of the old version")
    parser.add_argument("--new", type=Path, default=Path(), help="a checkout of the new version")
    parser.add_argument("--seeds", type=parse_seeds, default=range(1, 11), help="A-B")
    parser.add_argument("--days", nargs="+", default=list(DAYS))
    parser.add_argument("--small", action="store_true", help="small variants of large days")
    parser.add_argument("--jobs", type=int, default=1, help="pairs run in parallel")
    parser.add_argument("--plot", type=Path)
    options = parser.parse_args()
    folder = Path("target/unseen").resolve()
    folder.mkdir(parents=True, exist_ok=True)
    bench, old, new = options.bench.resolve(), options.old.resolve(), options.new.resolve()

    def run_pair(site: Path, seed: int, day: str) -> ResultPair:
        variant = write_variant(options.vary.resolve(), site.resolve(), seed, folder)
        results = [run_day(bench, checkout, variant, day, options.small) for checkout in (old, new)]
        return ResultPair(f"{variant.stem} {day}", results[0], results[1])

    jobs = [(site, seed, day) for site in options.sites for seed in options.seeds for day in options.days]
    with ThreadPoolExecutor(options.jobs) as pool:
        pairs = list(pool.map(lambda arguments: run_pair(*arguments), jobs))
    print(describe(pairs))
    if options.plot is not None:
        plot(pairs, options.plot)
    return 1 if any(pair.new.broken for pair in pairs) else 0


if __name__ == "__main__":
    sys.exit(main())
