"""Runs of batch items on sockets, with scripted sidecars."""

import asyncio

import uvloop

from crowwing.tier.front.batch_item_run import ItemReport, make_item_run
from crowwing.tier.front.dispatch import Dispatcher
from crowwing.tier.front.service_pool import ServicePool
from crowwing.tier.state.events import COMPLETED, BatchItem, ItemResult
from crowwing.tier.store.commands import ReportItemResult
from crowwing.tier.store.outcomes import LeasedItem
from tests.tier.exchanges import HOST
from tests.tier.scripted_sidecars import Reply, Request, ScriptedSidecars, answer, framings, routes
from tests.tier.test_events import UNICODE_LINE_SEPARATORS


def run_item(reply: Reply) -> ItemReport | None:
    """Runs one item at a scripted sidecar."""

    async def run() -> ItemReport | None:
        pool = ServicePool()
        scripted = ScriptedSidecars(reply, pool)
        pool.table = table = routes()
        pool.apply_endpoint_list(await scripted.start(1))
        loops = asyncio.ensure_future(pool.run_loops())
        route = table.find(HOST, "/lot/x")
        assert route is not None
        leased = LeasedItem("job", HOST, BatchItem("item", "/lot/x", (), b"", 0), 0)
        report = await make_item_run(leased, route, "s").run(pool, Dispatcher(pool))
        loops.cancel()
        scripted.stop()
        return report

    return uvloop.run(run())


def run_item_with_stream(stream: bytes) -> ItemReport | None:
    """Runs one item at a sidecar that answers with a stream, with its length stated."""

    async def reply(request: Request, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(request, body=stream, fields="Content-Type: text/event-stream\r\n"))

    return run_item(reply)


def completed(text: str) -> ItemReport:
    return ReportItemResult("job", "item", ItemResult("item", COMPLETED, text))


def test_mixed_a_completed_item_has_the_text_behind_unicode_line_separators() -> None:
    # Guards against results that are listed as completed without a part of their output (issue 81, review/1).
    texts = [f"first{separator}second" for separator in UNICODE_LINE_SEPARATORS]
    stream = "".join(f"id: {number}\ndata: {text}\n\n" for number, text in enumerate(texts, 1))
    assert run_item_with_stream(stream.encode()) == completed("\n".join(texts))


def test_mixed_comments_and_empty_blocks_of_a_stream_add_nothing_to_the_text() -> None:
    # Guards against results with line feeds that no event's data holds, from the heartbeats of a sidecar.
    stream = b": heartbeat\n\nid: 1\ndata: one\n\n: heartbeat\n\n\n\nid: 2\ndata\n\nid: 3\ndata: three\n\n"
    assert run_item_with_stream(stream) == completed("one\n\nthree")


def test_mixed_an_item_whose_sidecar_crashed_before_its_first_event_is_not_completed() -> None:
    # Guards against results that are listed as completed with an empty text.
    async def crashes(request: Request, writer: asyncio.StreamWriter) -> None:
        writer.write(framings(request, b"")["unframed"])
        await asyncio.sleep(0.05)
        request.sidecars.crash(request)

    assert run_item(crashes) is None


def test_mixed_an_item_answered_with_another_media_type_is_not_completed() -> None:
    # Guards against results that are listed as completed with an empty text, of an answer without events.
    async def reply(request: Request, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(request, body=b'{"text":"x"}', fields="Content-Type: application/json\r\n"))

    assert run_item(reply) is None
