"""Runs of batch items on sockets, with scripted sidecars."""

import asyncio
from collections.abc import Callable

import uvloop

from crowwing.tier.front.batch_item_run import ItemReport, make_item_run
from crowwing.tier.front.dispatch import Dispatcher
from crowwing.tier.front.service_pool import ServicePool
from crowwing.tier.state.events import COMPLETED, BatchItem, ItemResult
from crowwing.tier.store.commands import ReportItemResult
from crowwing.tier.store.outcomes import LeasedItem
from tests.tier.exchanges import HOST
from tests.tier.test_events import UNICODE_LINE_SEPARATORS
from tests.tier.test_request_path import Request, Scripted, answer, routes

Body = Callable[[Request], bytes]


def run_item(body: Body) -> ItemReport | None:
    """Runs one item at a sidecar that answers with `body`, with its length stated."""

    async def reply(request: Request, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(request, body=body(request), fields="Content-Type: text/event-stream\r\n"))

    async def run() -> ItemReport | None:
        scripted = Scripted(reply)
        pool = ServicePool()
        pool.table = table = routes()
        pool.apply_endpoint_list(await scripted.start(1))
        loops = asyncio.ensure_future(pool.run_loops())
        route = table.find(HOST, "/stream/x")
        assert route is not None
        leased = LeasedItem("job", HOST, BatchItem("item", "/stream/x", (), b"", 0), 0)
        report = await make_item_run(leased, route, "s").run(pool, Dispatcher(pool))
        loops.cancel()
        scripted.stop()
        return report

    return uvloop.run(run())


def completed(text: str) -> ItemReport:
    return ReportItemResult("job", "item", ItemResult("item", COMPLETED, text))


def test_mixed_a_completed_item_has_the_text_behind_unicode_line_separators() -> None:
    # Guards against results that are listed as completed without a part of their output (issue 81, review/1).
    texts = [f"first{separator}second" for separator in UNICODE_LINE_SEPARATORS]
    stream = "".join(f"id: {number}\ndata: {text}\n\n" for number, text in enumerate(texts, 1))
    assert run_item(lambda _: stream.encode()) == completed("\n".join(texts))


def test_mixed_comments_and_empty_blocks_of_a_stream_add_nothing_to_the_text() -> None:
    # Guards against results with line feeds that no event's data holds, from the heartbeats of a sidecar.
    stream = b": heartbeat\n\nid: 1\ndata: one\n\n: heartbeat\n\n\n\nid: 2\ndata\n\nid: 3\ndata: three\n\n"
    assert run_item(lambda _: stream) == completed("one\n\nthree")
