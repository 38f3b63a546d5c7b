"""Works out the figures of the capacity pages from what was measured, and checks the pages by them.

docs/CAPACITY.md is the serving tier's, from docs/measurements/tier_scale.json; docs/CAPACITY-BACKEND.md that
of the backend of `run`, from docs/measurements/scale.json.

    .venv/bin/python -m benchmarks.capacity            # what differs in the pages; exit 1 where anything does
    .venv/bin/python -m benchmarks.capacity --write    # fills the figures in

The page holds the sums themselves, so that they can be read where the figure stands. Names in them are the
page's own (tables whose first column is `name`) or measured ones, `KEY.NAME`: in `figures` of that key in the
file, or drawn from its `runs`: `KIND_SIZE__SCRIPT__FIELD__...`, as in `simulated.cells_5200__change__all_s`;
with `each` or `base` for the size, the slope over the sizes that were played, and what it starts from. `n` is
the size of the fleet, where a table says at which size a budget breaks.
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
FIRST, LAST = 20, 100_000  # backends: where a fleet begins to grow, and the end
WHOLE_HEADER = "of budget at "  # and the size that is asked for
OPERATORS = {
    ast.Add: operator.add, ast.Sub: operator.sub, ast.Mult: operator.mul, ast.Div: operator.truediv,
    ast.Pow: operator.pow,
}  # fmt: skip
FUNCTIONS = {"min": min, "max": max, "ceil": math.ceil, "exp": math.exp, "log10": math.log10}


class BadPage(ValueError):
    """The page holds what cannot be worked out."""


class Unmeasured(LookupError):
    """A name whose figure is not in the file yet."""


class Names:
    """What the names in a sum stand for: the page's own figures, and the measured ones."""

    def __init__(self, page: str, measured: dict) -> None:
        self.own: dict[str, float] = {}
        self.measured = measured
        for header, rows in tables(page):
            if header[0] == "name":
                for row in rows:
                    self.own[bare(row[0])] = float(row[1].replace(",", ""))

    def value(self, name: str, which: str) -> float:
        key, _, rest = name.partition(".")
        if not rest:
            if name not in self.own:
                raise BadPage(f"no figure is named {name}")
            return self.own[name]
        told = self.measured.get(key, {})
        figure = told.get("figures", {}).get(rest)
        if figure is not None:
            return float(figure[which])
        seeds = of_runs(told.get("runs", []), rest)
        if not seeds:
            raise Unmeasured(name)
        return float({"value": statistics.median, "least": min, "most": max}[which](seeds))


def of_runs(runs: list[dict], name: str) -> list[float]:
    """The figure of each seed that was played: at one size, or the line through the sizes."""
    what, *path = name.split("__")
    kind, _, size = what.rpartition("_")
    seen: dict[int, dict[int, list[float]]] = {}  # by seed and size
    for run in runs:
        if kind == run.get("kind", run.get("mode")) and size in ("each", "base", str(run["size"])):
            for value in found_in(run, path):
                seen.setdefault(run["seed"], {}).setdefault(run["size"], []).append(value)
    if size not in ("each", "base"):
        return [statistics.median(values) for sizes in seen.values() for values in sizes.values()]
    lines = []
    for sizes in seen.values():
        if len(sizes) > 1:
            line = statistics.linear_regression(
                list(sizes), [statistics.median(one) for one in sizes.values()]
            )
            lines.append(line.slope if size == "each" else line.intercept)
    return lines


def found_in(run: dict, path: list[str]) -> list[float]:
    """What one run found there: nothing where it did not play that script, or never came to it."""
    script, *fields = path
    told = run.get("found") if run.get("script") == script else run.get("scripts", {}).get(script)
    for field in fields:
        told = told.get(field) if isinstance(told, dict) else None
    values = told if isinstance(told, list) else [told]
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


def bare(cell: str) -> str:
    return cell.strip("`")


def sum_of(text: str) -> Callable[[Callable[[str], float]], float]:
    """A sum as it is written, to be worked out with what its names stand for."""
    try:
        tree = ast.parse(text, mode="eval").body
    except SyntaxError as wrong:
        raise BadPage(f"no sum: {text}") from wrong

    def worked(node: ast.expr, named: Callable[[str], float]) -> float:
        match node:
            case ast.Constant(value=int() | float() as value):
                return value
            case ast.Name(id=name):
                return named(name)
            case ast.Attribute(value=ast.Name(id=key), attr=name):
                return named(f"{key}.{name}")
            case ast.UnaryOp(op=ast.USub(), operand=one):
                return -worked(one, named)
            case ast.BinOp(left=left, op=op, right=right) if type(op) in OPERATORS:
                return OPERATORS[type(op)](worked(left, named), worked(right, named))
            case ast.Call(func=ast.Name(id=name), args=given, keywords=[]) if name in FUNCTIONS:
                return FUNCTIONS[name](*(worked(one, named) for one in given))
        raise BadPage(f"not followed in a sum: {ast.unparse(node)}")

    return lambda named: worked(tree, named)


def worked_out(text: str, names: Names, which: str = "value", **also: float) -> float:
    def named(name: str) -> float:
        return also[name] if name in also else names.value(name, which)

    return sum_of(text)(named)


def number(value: float) -> str:
    """Three digits, and no more than a reader needs of large ones."""
    if value == 0:
        return "0"
    whole = float(f"{value:.3g}")
    return f"{whole:,.0f}" if abs(whole) >= 100 else f"{whole:,.3g}"


def figure(text: str, names: Names) -> str:
    """The median, and the range with all that was measured at its least and at its most."""
    try:
        middle, least, most = (number(worked_out(text, names, which)) for which in ("value", "least", "most"))
    except Unmeasured:
        return UNKNOWN
    least, most = sorted((least, most), key=lambda one: float(one.replace(",", "")))
    return middle if least == most else f"{middle} ({least} to {most})"


def factor(text: str, budget: str, names: Names, **also: float) -> str:
    """The figure in parts of its budget: over 1 is too much."""
    if not budget:
        return ""
    try:
        times = worked_out(text, names, **also) / worked_out(budget, names)
    except Unmeasured:
        return UNKNOWN
    return number(times)


def breaks(text: str, budget: str, names: Names) -> int | None:
    """The first fleet over its budget, from FIRST on; None where none is, up to LAST. Sums only grow."""
    most = worked_out(budget, names)

    def over(size: int) -> bool:
        return worked_out(text, names, n=size) > most

    if over(FIRST):
        return FIRST
    if not over(LAST):
        return None
    least, beyond = FIRST, LAST
    while beyond - least > 1:
        middle = (least + beyond) // 2
        least, beyond = (least, middle) if over(middle) else (middle, beyond)
    return beyond


def breaks_at(text: str, budget: str, names: Names) -> str:
    try:
        size = breaks(text, budget, names)
    except Unmeasured:
        return UNKNOWN
    if size is None:
        return f"not up to {LAST:,}"
    return f"{FIRST} or before" if size == FIRST else f"{size:,}"


def whole_size(header: list[str]) -> int:
    """The size asked for, as the table's header names it."""
    cell = next(cell for cell in header if cell.startswith(WHOLE_HEADER))
    return int(cell.removeprefix(WHOLE_HEADER).replace(",", ""))


def order(cell: str) -> float:
    if cell == UNKNOWN:
        return math.inf
    return LAST if cell.startswith("not up") else float(cell.split()[0].replace(",", ""))


def filled(page: str, measured: dict) -> str:
    """The page with every figure worked out anew, and the order of breaking in order."""
    names, out, header = Names(page, measured), [], None
    breaking: list[list[str]] = []
    for line in [*page.splitlines(), ""]:
        if not line.startswith("|"):
            out += [row(told) for told in sorted(breaking, key=lambda told: order(told[3]))]
            header, breaking = None, []
            out.append(line)
        elif header is None:
            header = cells(line)
            out.append(line)
        elif set(line) <= set("|- "):
            out.append(line)
        elif "worked out as" in header:
            told = cells(line)
            sum_, budget = (bare(told[header.index(name)]) for name in ("worked out as", "budget"))
            told[header.index("figure")] = figure(sum_, names)
            told[header.index("of budget")] = factor(sum_, budget, names)
            out.append(row(told))
        elif "breaks at" in header:
            told = cells(line)
            sum_, budget = bare(told[1]), bare(told[2])
            told[3] = breaks_at(sum_, budget, names)
            told[4] = factor(sum_, budget, names, n=whole_size(header))
            breaking.append(told)
        else:
            out.append(line)
    return "\n".join(out[:-1]) + "\n"


def row(told: list[str]) -> str:
    return f"| {' | '.join(told)} |".replace("|  |", "| |").replace("|  |", "| |")


def differences(page: str, measured: dict) -> list[str]:
    """The lines of the page that are not what the file gives, as they should be."""
    lines = zip(page.splitlines(), filled(page, measured).splitlines(), strict=True)
    return [f"{n}: {has}\n  should be: {due}" for n, (has, due) in enumerate(lines, 1) if has != due]


def main() -> int:
    told = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    told.add_argument("--write", action="store_true", help="fills the figures in")
    write = told.parse_args().write
    wrong: list[str] = []
    for path, file in PAGES:
        page, measured = path.read_text(), json.loads(file.read_text())
        if write:
            path.write_text(filled(page, measured))
        else:
            wrong += [f"{path.name}:{line}" for line in differences(page, measured)]
    if not write:
        print("\n".join(wrong) or "the pages are what the files give")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
