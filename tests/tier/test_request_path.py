"""The rules of the request path, tested on sockets with a real front and scripted sidecars."""

import asyncio
import time
from collections import Counter
from typing import Any

import pytest
import uvloop

from crowwing.tier.configuration import Route, choose_service
from crowwing.tier.front.main import FrontProcess
from crowwing.tier.front.proxy import DEFAULT_DEADLINE_MS, parse_deadline
from crowwing.tier.front.service_pool import ServicePool
from crowwing.tier.platform_list import SidecarList
from crowwing.tier.settings import Settings
from tests.tier.exchanges import Response, read_response, serve_front
from tests.tier.scripted_sidecars import Request, answer, encoded, one, play, routes, silent

GONE_S = 0.5


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x"])
def test_gone_a_sidecar_works_on_for_a_client_that_left_no_longer_than_half_a_second(path: str) -> None:
    async def leave(port: int) -> float:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(encoded(path, "Deadline-Ms: 9000\r\n"))
        await asyncio.sleep(0.2)
        writer.close()
        left_at = time.monotonic()
        await asyncio.sleep(GONE_S)
        return left_at

    left_at, got = play(silent, leave, timeoutMs=9000, maxAttempts=1)
    assert len(got) == 1 and got[0].gone_at is not None and got[0].gone_at - left_at < GONE_S


def test_gone_a_client_that_leaves_in_the_midst_of_its_stream_is_gone_at_the_sidecar() -> None:
    async def endless(_request: Request, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 X\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(1, 500):
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await asyncio.sleep(0.01)

    async def leave(port: int) -> float:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(encoded("/stream/x", "Deadline-Ms: 9000\r\n"))
        await reader.readuntil(b"data: x")
        writer.close()
        left_at = time.monotonic()
        await asyncio.sleep(GONE_S)
        return left_at

    left_at, got = play(endless, leave, timeoutMs=9000)
    assert len(got) == 1 and got[0].gone_at is not None and got[0].gone_at - left_at < GONE_S


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x"])
def test_config_what_lasts_longer_than_its_routes_timeout_has_an_answer_half_a_second_later(
    path: str,
) -> None:
    (found, took), _ = play(silent, lambda port: one(port, encoded(path, "Deadline-Ms: 9000\r\n")))
    assert found.status in (502, 504) and 0.3 < took < 0.9


def test_budget_a_sidecar_is_handed_no_more_time_than_is_left_also_on_a_second_try() -> None:
    (found, _), got = play(
        silent, lambda port: one(port, encoded("/safe/x", "Deadline-Ms: 1500\r\n")), timeoutMs=9000
    )
    assert found.status in (502, 504) and len(got) == 2
    began = got[0].at
    for request in got:
        ends_at = request.at + float(request.headers["deadline-ms"]) / 1000
        assert ends_at <= began + 1.5 + 0.05
    assert float(got[1].headers["deadline-ms"]) < float(got[0].headers["deadline-ms"])


@pytest.mark.parametrize("path", ["/safe/x", "/stream/x", "/unsafe/x"])
def test_budget_no_more_sidecars_run_a_try_than_its_route_allows(path: str) -> None:
    async def broken(_request: Request, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    (found, _), got = play(broken, lambda port: one(port, encoded(path)), count=5, maxAttempts=3)
    assert found.status == 502 and len(got) == (1 if path == "/unsafe/x" else 3)


def test_a_fraction_of_a_millisecond_is_a_deadline_and_nonsense_is_none() -> None:
    assert parse_deadline(b"1500.5") == 1500.5
    for header in (None, b"", b"soon", b"-1", b"inf", b"nan"):
        assert parse_deadline(header) == DEFAULT_DEADLINE_MS


def test_unasked_a_sidecar_gets_the_clients_own_headers_and_body() -> None:
    async def ok(request: Request, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(request, fields="Versions: 7\r\n"))

    fields = "Model: m\r\nToken-Usage: 5,6\r\nPrompt-Prefix: aa:5,bb:6\r\nExpect-Version: 7\r\n"
    fields += "Connection: X\r\nX: 1\r\n"
    (found, _), got = play(ok, lambda port: one(port, encoded("/unsafe/x", fields, b"body")))
    assert found.status == 200 and found.body == b"ok" and found.headers["versions"] == "7"
    headers = got[0].headers
    assert (headers["model"], headers["token-usage"], headers["prompt-prefix"]) == ("m", "5,6", "aa:5,bb:6")
    assert headers["expect-version"] == "7" and got[0].body == b"body" and "x" not in headers


def test_other_weights_than_expected_are_no_run_and_a_promise() -> None:
    async def other(request: Request, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(request, 421, b""))

    (found, _), got = play(other, lambda port: one(port, encoded("/unsafe/x", "Expect-Version: 8\r\n")))
    assert found.status == 503 and "retry-after" in found.headers and len(got) == 2


def test_a_stream_is_taken_up_where_the_client_says() -> None:
    async def rest(request: Request, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(request, body=b"id: 4\ndata: x\n\n"))

    (found, _), got = play(rest, lambda port: one(port, encoded("/stream/x", "Last-Event-Id: 3\r\n")))
    assert found.body == b"id: 4\ndata: x\n\n" and got[0].headers["last-event-id"] == "3"


def test_a_failure_keeps_the_sidecars_status_and_stamp_where_it_may_not_run_again() -> None:
    async def failing(request: Request, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(request, 500, b"error"))

    (found, _), got = play(failing, lambda port: one(port, encoded("/unsafe/x")))
    assert (found.status, found.headers["server-stamp"], found.body, len(got)) == (500, "t", b"error", 1)


def test_lost_a_kept_connection_has_an_answer_whatever_the_sidecar_does() -> None:
    async def broken(_request: Request, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async def many(port: int) -> list[int]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        statuses = []
        for number in range(20):
            writer.write(encoded(["/safe/x", "/unsafe/x", "/stream/x"][number % 3]))
            statuses.append((await asyncio.wait_for(read_response(reader), 5)).status)
        writer.close()
        return statuses

    statuses, _ = play(broken, many)
    assert set(statuses) <= {502, 503, 504}, "and the connection stays open"


def test_denied_a_front_that_knows_no_configuration_promises_that_nothing_has_run() -> None:
    async def run() -> Response:
        stop = asyncio.Event()
        port, serving = await serve_front(ServicePool(), stop)
        found, _ = await one(port, encoded("/safe/x"))
        stop.set()
        await serving
        return found

    found = uvloop.run(run())
    assert found.status == 503 and "retry-after" in found.headers


def test_drain_a_front_that_leaves_is_not_ready_from_that_moment_on() -> None:
    front = FrontProcess(Settings.model_validate({"node": "f", "ip": "127.0.0.1", "portRange": [1, 2]}))

    def ready() -> int:
        messages: list[Any] = []

        async def send(message: Any) -> None:  # noqa: ANN401
            messages.append(message)

        asyncio.run(front.report_readiness(send))
        return messages[0]["status"]

    assert ready() == 503, "it knows neither routes nor sidecars"
    front.pool.table = routes()
    front.pool.apply_endpoint_list(SidecarList(()))
    assert ready() == 200
    front.proxy.draining = True
    assert ready() == 503


def test_config_each_part_of_a_split_gets_its_share_of_requests_and_of_items() -> None:
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}, {"service": "c", "weight": 0}]
    route = Route.model_validate(
        {"name": "r", "host": "h", "pathPrefix": "/", "timeoutMs": 1, "trafficSplit": split}
    )
    counts = Counter(choose_service(route, f"item-{number}".encode()) for number in range(10_000))
    assert abs(counts["a"] / 10_000 - 0.9) < 0.02 and counts["c"] == 0
