"""Tests the tables of losses, from a report of the bench and from the fronts' admission lines."""

import json
import logging
from pathlib import Path

import pytest

from benchmarks.worth import describe, describe_fronts, read_front_log, read_report
from crowwing.tier.front.admission import Admission
from crowwing.tier.front.admission_log import AdmissionLog
from crowwing.tier.front.upstream import NotExecuted

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
OLD_LINE = (
    "  12.5 front-a 05:04:45.720 front-a crowwing.pool INFO svc: refused 3, cut 0.31, limit 67 of 96, "
    "inflight 7, held 8, sidecars 96+27 of 96; tries: 5 answered\n"
)
LINE = (
    "  12.5 front-a 05:04:45.720 front-a crowwing.pool INFO admission service=svc rejected=3 "
    "priority_threshold=0.31 limit=67 max_limit=96 inflight=7 queued=8 running=96 waiting=27 slots=96 "
    "attempts=answered:5\n"
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


@pytest.mark.parametrize("line", [LINE, OLD_LINE], ids=["named fields", "before fields had names"])
def test_the_fronts_lines_add_up_by_second(line: str) -> None:
    other_front = (
        line.replace("27 of", "30 of").replace("waiting=27", "waiting=30").replace("front-a", "front-b")
    )
    seconds = read_front_log(line + other_front + "else\n")
    assert seconds[12].fronts == 2 and seconds[12].rejected == 6 and seconds[12].waiting == 30
    assert seconds[12].queued == 16
    assert "96+30 of 96" in describe_fronts(seconds)


def test_the_line_that_a_front_writes_is_read(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "crowwing.pool")
    admission = Admission(0.0, 96.0)
    admission.rejected_count = 3
    written = AdmissionLog()
    written.count("svc", NotExecuted(503, "full"))
    written.write("svc", admission, 10.0)
    (message,) = caplog.messages
    assert message.endswith("attempts=rejected_503:1")
    seconds = read_front_log(f"  12.5 front-a 05:04:45.720 front-a crowwing.pool INFO {message}\n")
    assert seconds[12].rejected == 3 and seconds[12].slots == 1
