"""Parsing of numbers and header values from clients, sidecars and the platform."""

import base64
import json
from typing import Any

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowwing.tier.front.batch_job_format import parse_batch_job
from crowwing.tier.front.errors import MalformedBatchJobError
from crowwing.tier.front.events import parse_event
from crowwing.tier.front.load_reports import LoadReport, parse_load_header, parse_report
from crowwing.tier.front.prefix_cache import PromptBlock, parse_prompt_prefix
from crowwing.tier.front.whole_numbers import MAX_WHOLE_NUMBER, parse_whole_number
from crowwing.tier.platform_list import MALFORMED_PAGE, parse_entry

DIGIT_LIKE = ("²", "٣", "\uff11\uff12", "1_0", "+1", "-1", " 1", "1 ", "1.0", "", "9" * 5000)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3),
)


@given(st.integers(min_value=0, max_value=MAX_WHOLE_NUMBER), st.integers(min_value=0, max_value=30))
def test_plain_digits_are_read_as_they_stand(number: int, zeros: int) -> None:
    text = "0" * zeros + str(number)
    assert parse_whole_number(text) == parse_whole_number(text.encode()) == number


@pytest.mark.parametrize("text", DIGIT_LIKE)
def test_text_other_than_ascii_digits_is_none(text: str) -> None:
    assert parse_whole_number(text) is None
    assert parse_whole_number(text.encode()) is None
    assert parse_whole_number(text.encode("latin-1", "ignore")) is None


def test_a_number_beyond_the_largest_one_is_none() -> None:
    assert parse_whole_number("17", max_value=16) is None
    assert parse_whole_number(str(MAX_WHOLE_NUMBER + 1)) is None
    assert parse_whole_number("0" * 5000 + "7") == 7


@given(st.text() | st.from_regex(r"[0-9a-f]*:[\u00b2\u0663 0-9]*(,[0-9a-f]*:[0-9]*)*"))
def test_any_prompt_prefix_is_read(header: str) -> None:
    assert all(block.tokens >= 0 for block in parse_prompt_prefix(header))


def test_unreadable_blocks_of_a_prompt_are_left_out() -> None:
    assert parse_prompt_prefix("a:12,b:²,c:" + "9" * 5000 + ",d:3") == (
        PromptBlock("a", 12),
        PromptBlock("d", 3),
    )


@given(st.binary() | st.from_regex(rb"id: ?[\xb20-9\xc2]*\ndata: [a-z]*\n\n"))
def test_any_event_is_read(raw: bytes) -> None:
    parse_event(raw)


@pytest.mark.parametrize("text", DIGIT_LIKE)
def test_an_event_with_an_unreadable_id_has_none(text: str) -> None:
    if text != " 1":  # one space after the colon is not part of the value
        assert parse_event(f"id: {text}\ndata: x\n\n".encode()).id is None


@given(st.binary() | st.from_regex(rb"[0-9\xb2 ]*,[0-9\xb2 ]*,[0-9\xb2]*"))
def test_any_load_header_is_read(value: bytes) -> None:
    report = parse_load_header(value)
    assert report is None or (report.running >= 0 and report.waiting >= 0)


@given(json_values, json_values)
def test_any_report_is_read(running: Any, waiting: Any) -> None:  # noqa: ANN401
    report = parse_report(json.dumps({"running": running, "waiting": waiting}).encode())
    assert report is None or (0 <= report.running < 1e309 and 0 <= report.waiting < 1e309)


@pytest.mark.parametrize(
    "body", [b"[" * 100_000, b"1", b"\xff", b'{"running":1e999,"waiting":0}', b'{"running":-9,"waiting":0}']
)
def test_a_report_that_says_nothing_usable_is_none(body: bytes) -> None:
    assert parse_report(body) is None


def test_a_usable_report_is_taken() -> None:
    assert parse_report(b'{"running":"3","waiting":2.0}') == LoadReport(3.0, 2.0)


def submitted(**changes: Any) -> bytes:  # noqa: ANN401
    """A batch job with one item."""
    item = {"id": "e1", "path": "/p/1", "headers": {"Model": "m"}, "body": "", "tokens": 940, **changes}
    return json.dumps({"requests": [item]}).encode()


UNUSABLE: list[dict[str, Any]] = [
    {"tokens": float("inf")}, {"tokens": float("nan")}, {"tokens": -1}, {"tokens": "²"}, {"tokens": [1]},
    {"id": ""}, {"id": "č"}, {"id": "\ud800"}, {"id": "a\r\nb"}, {"id": " a"},
    {"path": "/ü"}, {"path": "/a b"}, {"path": "x"}, {"path": "/\ud800"},
    {"headers": {"A b": "c"}}, {"headers": {"A": "c\r\nD: e"}}, {"headers": {"A": "č"}}, {"headers": [1]},
    {"body": "%%"}, {"body": 7},
]  # fmt: skip


@pytest.mark.parametrize("changes", UNUSABLE, ids=[json.dumps(changes) for changes in UNUSABLE])
def test_an_item_that_could_never_be_sent_is_rejected(changes: dict[str, Any]) -> None:
    with pytest.raises(MalformedBatchJobError):
        parse_batch_job(submitted(**changes))


@pytest.mark.parametrize("body", [b"[" * 100_000, b"\xff", b"7", b"{}", b'{"requests":{"a":1}}'])
def test_a_body_that_is_no_batch_job_is_rejected(body: bytes) -> None:
    with pytest.raises(MalformedBatchJobError):
        parse_batch_job(body)


@given(st.text(), st.text(), st.dictionaries(st.text(), st.text()), json_values)
def test_each_accepted_item_can_be_sent(
    item_id: str,
    path: str,
    headers: dict[str, str],
    tokens: Any,  # noqa: ANN401
) -> None:
    try:
        (item,) = parse_batch_job(submitted(id=item_id, path="/" + path, headers=headers, tokens=tokens))
    except MalformedBatchJobError:
        return
    fields = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in (*item.headers, ("Request-Id", item.id))
        if name.lower() not in ("content-length", "transfer-encoding", "host")  # set for each request
    ]
    h11.Request(method="POST", target=item.path.encode("latin-1"), headers=[("Host", "h"), *fields])


def test_a_proper_item_is_taken_as_it_is() -> None:
    body = base64.b64encode(b"\x00text").decode()
    (item,) = parse_batch_job(submitted(body=body, headers={"Model": " m ", "X": "é"}))
    assert (item.id, item.path, item.body, item.tokens) == ("e1", "/p/1", b"\x00text", 940)
    assert item.headers == (("Model", "m"), ("X", "é"))


ENTRY = {"id": "i1", "service": "s", "address": "10.0.0.1:80", "slots": 4, "state": "ready"}


@given(st.sampled_from(sorted(ENTRY)), json_values)
def test_an_entry_of_the_platforms_list_is_read_or_malformed(field: str, value: Any) -> None:  # noqa: ANN401
    try:
        entry = parse_entry({**ENTRY, field: value})
    except MALFORMED_PAGE:
        return
    assert entry.address.rpartition(":")[2].isdigit()


@pytest.mark.parametrize("address", ["10.0.0.1", "10.0.0.1:²", ":80", "h:0", "h:65536", "h:-1"])
def test_a_sidecar_without_a_usable_address_makes_its_list_malformed(address: str) -> None:
    with pytest.raises(MALFORMED_PAGE):
        parse_entry({**ENTRY, "address": address})
