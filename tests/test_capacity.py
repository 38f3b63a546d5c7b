"""The capacity page and the page of slopes match the measurements in docs/measurements/scale.json."""

import copy
import json
import random
import re

import pytest

from benchmarks import capacity, slopes
from benchmarks.slopes_figures import FIGURES

PAGE = capacity.PAGE.read_text()
TOLD = json.loads(capacity.FILE.read_text())
LETTER = {
    "backends": 5200, "callers": 47_000, "services": 1400, "requests_per_s": 590_000, "routes": 78_000,
    "tenants": 170_000, "added_ms": 4.3, "regions": 5, "zones": 11, "changes_a_day": 3400, "change_s": 9,
    "control_ms_per_s": 30, "control_mb": 64, "control_bytes_per_s": 3000, "set_aside": 8,
    "fails_a_day": 110, "restarts_a_day": 4800,
}  # fmt: skip


def sums() -> list[tuple[str, str]]:
    """Each formula of the page and the figure next to it."""
    out = []
    for header, rows in capacity.tables(PAGE):
        if "worked out as" in header:
            at, shown = header.index("worked out as"), header.index("figure")
            out += [(capacity.strip_backticks(row[at]), row[shown]) for row in rows]
    return out


def test_the_page_is_what_the_measured_file_gives() -> None:
    assert not capacity.differences(PAGE, TOLD)


def test_the_page_holds_the_figures_of_the_letter() -> None:
    assert LETTER.items() <= capacity.FigureNames(PAGE, TOLD).page_values.items()


def test_the_figures_are_those_of_the_rows_that_were_measured() -> None:
    backend = TOLD["backend"]
    assert slopes.compute_figures(backend["rows"]) == backend["figures"]
    assert slopes.render_page(backend) == slopes.PAGE.read_text()
    seeds = {name: {row["seed"] for row in rows} for name, rows in backend["rows"].items()}
    assert all(len(some) >= 3 for some in seeds.values()), seeds


def test_each_measured_name_of_the_page_is_one_that_a_run_can_give() -> None:
    named = set(re.findall(r"`[^`]*`", PAGE))
    backend = {name for text in named for name in re.findall(r"\bbackend\.(\w+)", text)} - {"x"}
    assert backend and backend <= FIGURES.keys()


@pytest.mark.parametrize("seed", range(5))
def test_a_figure_changed_in_the_page_is_seen(seed: int) -> None:
    chance = random.Random(seed)
    sum_, shown = chance.choice([(sum_, shown) for sum_, shown in sums() if shown != capacity.UNKNOWN])
    line = next(line for line in PAGE.splitlines() if f"| `{sum_}` | {shown} |" in line)
    digit = next(letter for letter in shown if letter.isdigit())
    other = f"| `{sum_}` | {shown.replace(digit, str((int(digit) + 1) % 10), 1)} |"
    changed = PAGE.replace(line, line.replace(f"| `{sum_}` | {shown} |", other))
    assert changed != PAGE and capacity.differences(changed, TOLD)


def test_every_figure_changed_in_the_file_is_seen() -> None:
    for name in {name for sum_, _ in sums() for name in re.findall(r"backend\.(\w+)", sum_)}:
        told = copy.deepcopy(TOLD)
        for which in ("value", "least", "most"):
            figure = told["backend"]["figures"][name]
            figure[which] = figure[which] * 1.5 or 1.0  # a factor would not change a figure of 0
        assert capacity.differences(PAGE, told), name


def test_a_measured_row_changed_in_the_file_is_seen() -> None:
    told = copy.deepcopy(TOLD["backend"])
    for row in told["rows"]["checks"]:
        row["cpu_ms_per_s"] *= 1 + row["x"] / 1000
    assert slopes.compute_figures(told["rows"]) != told["figures"]


def test_a_figure_where_none_was_measured_is_seen() -> None:
    """A figure without a measurement is marked as such, and a value written in its place is detected."""
    told = copy.deepcopy(TOLD)
    del told["backend"]["figures"]["check_us"]
    page = capacity.fill_page(PAGE, told)
    assert capacity.UNKNOWN in page and not capacity.differences(page, told)
    guessed = page.replace(f"| {capacity.UNKNOWN} |", "| 123 |", 1)
    assert capacity.differences(guessed, told)


SMALL = """
| name | value | words |
| --- | --- | --- |
| `tenants` | 1,000 | |
| `most` | 50 | |

| what | worked out as | figure | unit | budget | of budget |
| --- | --- | --- | --- | --- | --- |
| all | `tenants * backend.each / 1000` | | ms | `most` | |
| none | `fleet.each` | 7 | ms | `most` | 3 |

| what | as it grows | budget | breaks at | of budget at 5,200 | by |
| --- | --- | --- | --- | --- | --- |
| late | `backend.each * n` | `most * 100` | | | a |
| early | `backend.each * n` | `most * 2` | | | b |
| first | `100 * n` | `most` | | | c |
| never | `backend.each + 0 * n` | `most` | | | d |
"""
EACH = {"backend": {"figures": {"each": {"value": 2, "least": 1, "most": 2.5}}}}


def test_sums_are_worked_out_by_hand() -> None:
    page = capacity.fill_page(SMALL, EACH)
    rows = [row for _, rows in capacity.tables(page) for row in rows]
    assert rows[2][2:] == ["2 (1 to 2.5)", "ms", "`most`", "0.04"]
    assert rows[3][2:] == [capacity.UNKNOWN, "ms", "`most`", capacity.UNKNOWN]
    assert [row[0] for row in rows[4:]] == ["first", "early", "late", "never"]
    assert [row[3] for row in rows[4:]] == ["20 or before", "51", "2,501", "not up to 100,000"]
    assert rows[5][4] == "104"  # 2 * 5,200 of 100
    assert capacity.fill_page(page, EACH) == page


RUNS = [
    {"script": "change", "kind": "cells", "size": size, "seed": seed, "found": {"all_s": [seed + size, None]}}
    for size in (10, 100)
    for seed in (1, 2, 5)
] + [{"mode": "flat", "size": 10, "seed": 1, "scripts": {"rest": {"real": {"cpu_ms_s": {"most": 4}}}}}]


def test_figures_are_drawn_from_runs() -> None:
    assert sorted(capacity.values_of_runs(RUNS, "cells_100__change__all_s")) == [101, 102, 105]
    assert capacity.values_of_runs(RUNS, "cells_each__change__all_s") == [1, 1, 1]
    assert sorted(capacity.values_of_runs(RUNS, "cells_base__change__all_s")) == [1, 2, 5]
    assert capacity.values_of_runs(RUNS, "flat_10__rest__real__cpu_ms_s__most") == [4]
    for none in ("flat_each__rest__real__cpu_ms_s__most", "cells_10__rest__all_s", "cells_11__change__all_s"):
        assert not capacity.values_of_runs(RUNS, none)
    names = capacity.FigureNames("", {"simulated": {"runs": RUNS}})
    assert capacity.format_figure("simulated.cells_100__change__all_s", names) == "102 (101 to 105)"


@pytest.mark.parametrize("wrong", ["nobody", "2 **", "open('x')", "tenants if most else 1", "a.b.c"])
def test_a_sum_that_is_none_fails(wrong: str) -> None:
    with pytest.raises(capacity.PageError):
        capacity.fill_page(SMALL.replace("`fleet.each`", f"`{wrong}`"), EACH)
