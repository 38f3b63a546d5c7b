"""Computes the figures of the capacity pages from the measurements, and checks the pages against them.

docs/CAPACITY.md covers the serving tier, from docs/measurements/tier_scale.json; docs/CAPACITY-BACKEND.md
covers the backend of `run`, from docs/measurements/scale.json.

    .venv/bin/python -m benchmarks.capacity            # prints differences; exit status 1 if there are any
    .venv/bin/python -m benchmarks.capacity --write    # updates the figures in the pages

The pages contain the formulas next to the figures. A name in a formula is defined in the page (tables whose
first column is `name`) or measured, `KEY.NAME`: from `figures` of that key in the file, or from its `runs`:
`KIND_SIZE__SCRIPT__FIELD__...`, as in `simulated.cells_5200__change__all_s`. `each` or `base` in place of the
size gives the slope or the intercept of a linear fit over the sizes that were run. `n` is the size of the
fleet, in tables that show at which size a budget is exceeded.
"""

import argparse
import ast
import json
import math
import operator
import statistics
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

DOCS = Path(__file__).parent.parent / "docs"
PAGE, FILE = DOCS / "CAPACITY-BACKEND.md", DOCS / "measurements" / "scale.json"
TIER_PAGE, TIER_FILE = DOCS / "CAPACITY.md", DOCS / "measurements" / "tier_scale.json"
PAGES = ((PAGE, FILE), (TIER_PAGE, TIER_FILE))
UNKNOWN = "not measured yet"
MIN_SIZE, MAX_SIZE = 20, 100_000  # backends, the range that is searched
RATIO_HEADER = "of budget at "  # followed by the size
OPERATORS = {
    ast.Add: operator.add, ast.Sub: operator.sub, ast.Mult: operator.mul, ast.Div: operator.truediv,
    ast.Pow: operator.pow,
}  # fmt: skip
FUNCTIONS = {"min": min, "max": max, "ceil": math.ceil, "exp": math.exp, "log10": math.log10}


class PageError(ValueError):
    """The page contains something that can't be evaluated."""


class NotMeasuredError(LookupError):
    """A name without a figure in the measurement file."""


class FigureNames:
    """Values of the names in formulas: those defined in the page, and measured ones."""

    def __init__(self, page: str, measured: dict) -> None:
        self.page_values: dict[str, float] = {}
        self.measured = measured
        for header, rows in tables(page):
            if header[0] == "name":
                for row in rows:
                    self.page_values[strip_backticks(row[0])] = float(row[1].replace(",", ""))

    def value(self, name: str, which: str) -> float:
        key, _, rest = name.partition(".")
        if not rest:
            if name not in self.page_values:
                raise PageError(f"no figure is named {name}")
            return self.page_values[name]
        entry = self.measured.get(key, {})
        figure = entry.get("figures", {}).get(rest)
        if figure is not None:
            return float(figure[which])
        seeds = values_of_runs(entry.get("runs", []), rest)
        if not seeds:
            raise NotMeasuredError(name)
        return float({"value": statistics.median, "least": min, "most": max}[which](seeds))


def values_of_runs(runs: list[dict], name: str) -> list[float]:
    """The value for each seed: at one size, or the slope or intercept of the fit over sizes."""
    what, *path = name.split("__")
    kind, _, size = what.rpartition("_")
    by_seed: dict[int, dict[int, list[float]]] = {}  # by seed and size
    for run in runs:
        if kind == run.get("kind", run.get("mode")) and size in ("each", "base", str(run["size"])):
            for value in values_of_run(run, path):
                by_seed.setdefault(run["seed"], {}).setdefault(run["size"], []).append(value)
    if size not in ("each", "base"):
        return [statistics.median(values) for sizes in by_seed.values() for values in sizes.values()]
    fitted = []
    for sizes in by_seed.values():
        if len(sizes) > 1:
            line = statistics.linear_regression(
                list(sizes), [statistics.median(one) for one in sizes.values()]
            )
            fitted.append(line.slope if size == "each" else line.intercept)
    return fitted


def values_of_run(run: dict, path: list[str]) -> list[float]:
    """Values at a path in one run; empty if it did not run that script or has no result."""
    script, *fields = path
    entry = run.get("found") if run.get("script") == script else run.get("scripts", {}).get(script)
    for field in fields:
        entry = entry.get(field) if isinstance(entry, dict) else None
    values = entry if isinstance(entry, list) else [entry]
    return [float(value) for value in values if isinstance(value, int | float)]


def tables(page: str) -> Iterator[tuple[list[str], list[list[str]]]]:
    """Each table's header and rows."""
    lines = [*page.splitlines(), ""]
    at = 0
    while at < len(lines):
        end = at
        while lines[end].startswith("|"):
            end += 1
        if end > at + 1:
            yield cells(lines[at]), [cells(line) for line in lines[at + 2 : end]]
        at = end + 1


def cells(line: str) -> list[str]:
    return [cell.strip() for cell in line.strip().strip("|").split("|")]


def strip_backticks(cell: str) -> str:
    return cell.strip("`")


def compile_formula(text: str) -> Callable[[Callable[[str], float]], float]:
    """Parses a formula and returns a function that evaluates it; raises PageError."""
    try:
        tree = ast.parse(text, mode="eval").body
    except SyntaxError as error:
        raise PageError(f"not a formula: {text}") from error

    def evaluate(node: ast.expr, named: Callable[[str], float]) -> float:
        match node:
            case ast.Constant(value=int() | float() as value):
                return value
            case ast.Name(id=name):
                return named(name)
            case ast.Attribute(value=ast.Name(id=key), attr=name):
                return named(f"{key}.{name}")
            case ast.UnaryOp(op=ast.USub(), operand=one):
                return -evaluate(one, named)
            case ast.BinOp(left=left, op=op, right=right) if type(op) in OPERATORS:
                return OPERATORS[type(op)](evaluate(left, named), evaluate(right, named))
            case ast.Call(func=ast.Name(id=name), args=given, keywords=[]) if name in FUNCTIONS:
                return FUNCTIONS[name](*(evaluate(one, named) for one in given))
        raise PageError(f"not supported in a formula: {ast.unparse(node)}")

    return lambda named: evaluate(tree, named)


def evaluate_formula(text: str, names: FigureNames, which: str = "value", **overrides: float) -> float:
    def named(name: str) -> float:
        return overrides[name] if name in overrides else names.value(name, which)

    return compile_formula(text)(named)


def format_number(value: float) -> str:
    """Rounds to three significant digits."""
    if value == 0:
        return "0"
    rounded = float(f"{value:.3g}")
    return f"{rounded:,.0f}" if abs(rounded) >= 100 else f"{rounded:,.3g}"


def format_figure(text: str, names: FigureNames) -> str:
    """The median, and the range with all measured values at their minimum and at their maximum."""
    try:
        mid, low, high = (
            format_number(evaluate_formula(text, names, which)) for which in ("value", "least", "most")
        )
    except NotMeasuredError:
        return UNKNOWN
    low, high = sorted((low, high), key=lambda one: float(one.replace(",", "")))
    return mid if low == high else f"{mid} ({low} to {high})"


def format_budget_ratio(text: str, budget: str, names: FigureNames, **overrides: float) -> str:
    """The figure relative to its budget; over 1 exceeds it."""
    if not budget:
        return ""
    try:
        ratio = evaluate_formula(text, names, **overrides) / evaluate_formula(budget, names)
    except NotMeasuredError:
        return UNKNOWN
    return format_number(ratio)


def find_breaking_size(text: str, budget: str, names: FigureNames) -> int | None:
    """The smallest size over budget from MIN_SIZE to MAX_SIZE, or None; the formula must not decrease."""
    limit = evaluate_formula(budget, names)

    def over(size: int) -> bool:
        return evaluate_formula(text, names, n=size) > limit

    if over(MIN_SIZE):
        return MIN_SIZE
    if not over(MAX_SIZE):
        return None
    low, breaking = MIN_SIZE, MAX_SIZE
    while breaking - low > 1:
        mid = (low + breaking) // 2
        low, breaking = (low, mid) if over(mid) else (mid, breaking)
    return breaking


def format_breaking_size(text: str, budget: str, names: FigureNames) -> str:
    try:
        size = find_breaking_size(text, budget, names)
    except NotMeasuredError:
        return UNKNOWN
    if size is None:
        return f"not up to {MAX_SIZE:,}"
    return f"{MIN_SIZE} or before" if size == MIN_SIZE else f"{size:,}"


def reference_size(header: list[str]) -> int:
    """The size that the table's header names."""
    cell = next(cell for cell in header if cell.startswith(RATIO_HEADER))
    return int(cell.removeprefix(RATIO_HEADER).replace(",", ""))


def breaking_sort_key(cell: str) -> float:
    if cell == UNKNOWN:
        return math.inf
    return MAX_SIZE if cell.startswith("not up") else float(cell.split()[0].replace(",", ""))


def fill_page(page: str, measured: dict) -> str:
    """The page with all figures recomputed, and the rows of sizes over budget sorted by size."""
    names, out, header = FigureNames(page, measured), [], None
    breaking_rows: list[list[str]] = []
    for line in [*page.splitlines(), ""]:
        if not line.startswith("|"):
            out += [
                format_row(entry)
                for entry in sorted(breaking_rows, key=lambda entry: breaking_sort_key(entry[3]))
            ]
            header, breaking_rows = None, []
            out.append(line)
        elif header is None:
            header = cells(line)
            out.append(line)
        elif set(line) <= set("|- "):
            out.append(line)
        elif "worked out as" in header:
            entry = cells(line)
            formula, budget = (
                strip_backticks(entry[header.index(name)]) for name in ("worked out as", "budget")
            )
            entry[header.index("figure")] = format_figure(formula, names)
            entry[header.index("of budget")] = format_budget_ratio(formula, budget, names)
            out.append(format_row(entry))
        elif "breaks at" in header:
            entry = cells(line)
            formula, budget = strip_backticks(entry[1]), strip_backticks(entry[2])
            entry[3] = format_breaking_size(formula, budget, names)
            entry[4] = format_budget_ratio(formula, budget, names, n=reference_size(header))
            breaking_rows.append(entry)
        else:
            out.append(line)
    return "\n".join(out[:-1]) + "\n"


def format_row(entry: list[str]) -> str:
    return f"| {' | '.join(entry)} |".replace("|  |", "| |").replace("|  |", "| |")


def differences(page: str, measured: dict) -> list[str]:
    """The lines of the page that differ from the recomputed ones, with the expected text."""
    lines = zip(page.splitlines(), fill_page(page, measured).splitlines(), strict=True)
    return [
        f"{n}: {actual}\n  should be: {expected}"
        for n, (actual, expected) in enumerate(lines, 1)
        if actual != expected
    ]


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--write", action="store_true", help="update the figures in the pages")
    write = parser.parse_args().write
    mismatches: list[str] = []
    for path, file in PAGES:
        page, measured = path.read_text(), json.loads(file.read_text())
        if write:
            path.write_text(fill_page(page, measured))
        else:
            mismatches += [f"{path.name}:{line}" for line in differences(page, measured)]
    if not write:
        print("\n".join(mismatches) or "the pages match the measurement files")
    return 1 if mismatches else 0


if __name__ == "__main__":
    sys.exit(main())
