"""The table of losses: what it reads from a report of the bench and from the fronts' lines."""

import json
from pathlib import Path

from benchmarks.worth import describe, describe_fronts, read_front_log, read_report

PART = {"n": 10, "late": 2, "refused": 1, "failed": 1, "worth": 0.7}
REPORT = {
    "G": 0.6,
    "served": 0.7,
    "classes": [{**PART, "name": "review"}, {**PART, "name": "lots", "n": 30, "worth": None}],
    "zones": [{**PART, "name": "north"}],
    "windows": [{**PART, "name": "0"}, {**PART, "name": "2", "worth": 0.1}],
    "prices": [["machine-seconds", 100.0, 0.05], ["probes", 3.0, 0.0]],
    "ends": {"200": 9, "503": 1},
    "hints": ["one thing"],
}
LINE = (
    "  12.5 front-a 05:04:45.720 front-a crowwing.pool INFO svc: refused 3, cut 0.31, limit 67 of 96, "
    "inflight 7, held 8, sidecars 96+27 of 96; tries: 5 answered\n"
)


def test_a_report_becomes_shares_of_the_worth_that_is_owed(tmp_path: Path) -> None:
    path = tmp_path / "day.json"
    path.write_text(json.dumps(REPORT))
    day = read_report(path)
    assert [round(loss.share, 3) for loss in day.classes] == [0.075, 0.75]
    assert day.prices == [("machine-seconds", 100.0, 0.05)], "those that cost something"
    text = describe(day)
    assert text.index("\n2 ") < text.index("\n0 "), "the worst second first"
    assert "seen: one thing" in text and "200 9" in text


def test_the_fronts_lines_add_up_by_second() -> None:
    seconds = read_front_log(LINE + LINE.replace("27 of", "30 of").replace("front-a", "front-b") + "else\n")
    assert seconds[12].fronts == 2 and seconds[12].refused == 6 and seconds[12].waiting == 30
    assert "96+30 of 96" in describe_fronts(seconds)
