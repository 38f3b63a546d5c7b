"""Parsers give the same values wherever the bytes are split, and reject invalid data."""

import random

import pytest

from crowwing.contract import Outcome
from crowwing.protocol import control_plane, downstream, sidecar, worker_agent
from crowwing.protocol.reply import Reply, ReplyReader
from tests.parties import reply
from tests.rig import Sidecar

TICKET = Sidecar.ticket(
    "9b1f03aa5c7e2d41", "look", b"any \r\n\x00 bytes", X_Row="7f3a", X_Ingress_Time="1764576000123"
)
NOTICES = (
    b"greeting COLD 12.5\r\naside 1 a word or two\r\nrequest 2 ab12 4\r\na\r\nb\r\n"
    b"outcome 3 ab12 OK 17.25 5\r\n\r\nres\r\nsampled s1 0.5 6 0.25 31\r\nexercised c1 ERROR\r\n"
    b"refusal deliver ab12\r\noutcome 4 ab13 STOPPED 3 0\r\n\r\n"
)


def pieces(data: bytes, seed: int) -> list[memoryview]:
    """Single bytes for seed 0, random pieces for others, each in a buffer that is reused."""
    chance, at, found = random.Random(seed), 0, []
    while at < len(data):
        size = 1 if not seed else chance.randrange(1, 40)
        found.append(memoryview(bytearray(data[at : at + size])))
        at += size
    return found


@pytest.mark.parametrize("seed", range(6))
def test_sidecar_requests_split_anywhere(seed: int) -> None:
    reader = sidecar.SidecarReader()
    stream = TICKET + b"GET /ping?engine=1 HTTP/1.1\r\nHost: s\r\n\r\n" + TICKET
    found = [value for piece in pieces(stream, seed) for value in reader.feed(piece)]
    first = found[0]
    assert (
        found == [first, sidecar.HealthCheck(deep=True), first] and not reader.closed and not reader.partial
    )
    assert (first.id, first.type, first.body) == ("9b1f03aa5c7e2d41", "look", b"any \r\n\x00 bytes")
    assert (first.arrived, first.due - first.arrived) == (1764576000123000, 50_000_000)
    assert (first.sidecar, first.kb, first.rank, first.customer, first.row) == (4, 24.5, 0.9, "acme", "7f3a")


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("data", "status", "fatal"),
    [
        (b"nonsense\r\n\r\n", 400, True),
        (b"BREW /call/look HTTP/1.1\r\n\r\n", 400, True),
        (b"GET /call/look HTTP/1.1\r\n\r\n", 405, False),
        (b"POST /call/ HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404, False),
        (b"POST /else HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404, False),
        (b"POST /ping HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405, False),
        (b"GET /ping HTTP/1.1\r\n" + b"X-A: " + b"a" * 9000 + b"\r\n\r\n", 431, True),
        (Sidecar.ticket("9b1f03aa5c7e2d41", body=b"a" * 2049), 413, True),
        (Sidecar.ticket("9b1f03aa5c7e2d41", Content_Length="-3"), 400, True),
        (Sidecar.ticket("9b1f03aa5c7e2d41", Transfer_Encoding="chunked"), 400, True),
        (Sidecar.ticket("9b1f03aa5c7e2d41", Content_Length="", Transfer_Encoding="chunked"), 400, True),
        (Sidecar.ticket("9b1f03aa5c7e2d41", Content_Length="4\r\nContent-Length: 4"), 400, True),
        (Sidecar.ticket("9b1f03aa5c7e2d41", Content_Length="\r\n 4"), 400, True),
        (Sidecar.ticket("9b1f03aa5c7e2d41", Content_Length="4, 4"), 400, True),
        (Sidecar.ticket("9b1f03aa5c7e2d41", Content_Length="+4"), 400, True),
        (Sidecar.ticket("9b1f03aa5c7e2d41", X_Shed_Order="1_0"), 400, False),
        (Sidecar.ticket("9b1f03aa5c7e2d41", X_Working_Set_Kb="inf"), 400, False),
        (Sidecar.ticket("9b1f03aa"), 400, False),
        (Sidecar.ticket("9b1f03aa5c7e2d4x"), 400, False),
        (Sidecar.ticket("9b1f03aa5c7e2d41", X_Shed_Order=""), 400, False),
        (Sidecar.ticket("9b1f03aa5c7e2d41", X_Shed_Order="1"), 400, False),
        (Sidecar.ticket("9b1f03aa5c7e2d41", X_Shed_Order="nan"), 400, False),
        (Sidecar.ticket("9b1f03aa5c7e2d41", X_Working_Set_Kb="2000"), 400, False),
        (Sidecar.ticket("9b1f03aa5c7e2d41", X_Ingress_Time="-5"), 400, False),
        (Sidecar.ticket("9b1f03aa5c7e2d41", X_Ttl_Ms="soon"), 400, False),
    ],
)
def test_bad_requests_get_a_4xx(data: bytes, status: int, fatal: bool, seed: int) -> None:
    reader = sidecar.SidecarReader()
    found = [value for piece in pieces(data, seed) for value in reader.feed(piece)]
    assert [(bad.status, bad.fatal) for bad in found] == [(status, fatal)] and reader.closed == fatal
    assert fatal or isinstance(reader.feed(memoryview(TICKET))[0], sidecar.Arrival)


def test_an_upgrade_is_ignored_and_ends_the_stream() -> None:
    reader = sidecar.SidecarReader()
    asked = b"GET /ping HTTP/1.1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nother"
    assert reader.feed(memoryview(asked)) == [sidecar.HealthCheck(deep=False)] and reader.closed


@pytest.mark.parametrize("seed", range(6))
def test_notices_split_anywhere(seed: int) -> None:
    reader = worker_agent.AgentReader()
    assert [notice for piece in pieces(NOTICES, seed) for notice in reader.feed(piece)] == [
        worker_agent.Greeting(True, 12500),
        worker_agent.Aside(1, "a word or two"),
        worker_agent.CallRequested(2, "ab12", b"a\r\nb"),
        worker_agent.RunEnded(3, "ab12", "OK", 17250, b"\r\nres"),
        worker_agent.Sampled("s1", (0.5, 6.0, 0.25, 31.0)),
        worker_agent.Exercised("c1", False),
        worker_agent.Refusal("deliver", "ab12"),
        worker_agent.RunEnded(4, "ab13", "STOPPED", 3000, b""),
    ]
    assert not reader.buffer


@pytest.mark.parametrize(
    "data",
    [
        b"what 1\r\n", b"outcome 1 ab FINE 3 0\r\n\r\n", b"outcome x ab OK 3 0\r\n\r\n",
        b"sampled s1 nan\r\n",
        b"outcome 1 ab OK 3 2\r\nabcd", b"outcome 1 ab OK 3 99999999\r\n", b"greeting COLD -1\r\n",
        b"a" * 2000,
    ],
)  # fmt: skip
def test_invalid_notices_raise_a_protocol_error(data: bytes) -> None:
    with pytest.raises(ValueError):
        worker_agent.AgentReader().feed(memoryview(data))


@pytest.mark.parametrize("seed", range(4))
def test_replies_split_anywhere(seed: int) -> None:
    reader = ReplyReader()
    found = [reader.feed(piece) for piece in pieces(reply(503, b"full", "Turned-Away: 1\r\n"), seed)]
    assert found[:-1] == [None] * (len(found) - 1) and found[-1] == Reply(503, True, b"full")
    assert reader.reusable


def test_an_incomplete_reply_is_none_and_a_second_reply_prevents_reuse() -> None:
    reader = ReplyReader()
    assert reader.feed(memoryview(b"HTTP/1.1 200 So\r\nContent-Length: 5\r\n\r\nab")) is None
    assert reader.end() is None
    reader = ReplyReader()
    assert reader.feed(memoryview(b"HTTP/1.1 200 So\r\n")) is None and reader.end() is None
    for junk in (b"SSH-2.0\r\n\r\n", b"HTTP/1.1 200 So\r\nContent-Length: -1\r\n\r\n", b"\x00" * 200):
        with pytest.raises(ValueError):
            ReplyReader().feed(memoryview(junk))
    huge = ReplyReader()
    assert huge.feed(memoryview(b"HTTP/1.1 200 So\r\nContent-Length: 3000000000\r\n\r\n")) is None
    with pytest.raises(ValueError):
        for _ in range(20):
            huge.feed(memoryview(b"x" * 8192))


@pytest.mark.parametrize("seed", range(4))
def test_a_reply_is_valid_after_interim_responses_and_before_invalid_bytes(seed: int) -> None:
    good, early = (
        reply(200, b"good"),
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nTurned-Away: 1\r\n\r\n",
    )
    reader = ReplyReader()
    assert [reader.feed(piece) for piece in pieces(early + good, seed)][-1] == Reply(200, False, b"good")
    assert reader.reusable
    for behind in (good, b"noise\r\n\r\n", good[:9]):
        reader = ReplyReader()
        assert reader.feed(memoryview(good + behind)) == Reply(200, False, b"good") and not reader.reusable


def test_a_reply_without_a_body_by_its_status_leaves_its_connection_reusable() -> None:
    for head in (b"HTTP/1.1 204 So\r\n", b"HTTP/1.1 304 So\r\n"):
        reader = ReplyReader()
        assert reader.feed(memoryview(head + b"\r\n")).body == b"" and reader.reusable
        for last in (head + b"Connection: close\r\n\r\n", head + b"\r\nHTTP/1.1 500 So\r\n\r\n"):
            reader = ReplyReader()
            assert reader.feed(memoryview(last)).status != 500 and not reader.reusable
    reader = ReplyReader()  # the end of the connection delimits this body
    assert reader.feed(memoryview(b"HTTP/1.1 200 So\r\n\r\nab")) is None
    assert reader.end() == Reply(200, False, b"ab") and not reader.reusable


def test_what_each_reply_proves() -> None:
    proofs = [(200, False), (503, True), (409, True), (503, False), (500, False), (504, False), (404, False)]
    good, away, failed, unsure = Outcome.GOOD, Outcome.NEVER_RAN, Outcome.FAILED, Outcome.UNSURE
    assert [downstream.classify_reply(Reply(status, turned, b"")) for status, turned in proofs] == [
        good, away, away, failed, failed, unsure, failed,
    ]  # fmt: skip
    assert control_plane.is_acknowledged(Reply(204, False, b"")) and not control_plane.is_acknowledged(
        Reply(200, False, b"")
    )


def test_responses_carry_the_required_headers() -> None:
    assert sidecar.encode_completed(b"r", 2.5, False) == (
        b"HTTP/1.1 200 OK\r\nX-Capacity: 2.5000\r\nContent-Length: 1\r\n\r\nr"
    )
    advice = b"X-Throttle-Ms: 250\r\nX-Give-Up: 1\r\nConnection: close\r\n"
    assert advice in sidecar.encode_rejected(250_000, True, None, True)
    assert b"X-Throttle" not in sidecar.encode_rejected(0, False, None, False)
    assert b"Deadline-Ms: 250\r\n" in downstream.encode_call("ab", 250_900, "h", b"")
