"""The HTTP API for batch jobs of a front: submit, read and end."""

import logging
from urllib.parse import parse_qs, unquote

from crowwing.tier.front.asgi import ClientRequest, Send, respond, respond_json, respond_unavailable
from crowwing.tier.front.batch_job_format import parse_batch_job
from crowwing.tier.front.errors import MalformedBatchJobError
from crowwing.tier.front.store_client import FrontOutcome, StoreClient
from crowwing.tier.front.whole_numbers import parse_whole_number
from crowwing.tier.store import commands, outcomes

log = logging.getLogger("crowwing.batch")

SUBMIT_TIMEOUT_S, READ_TIMEOUT_S = 2.5, 1.3
BATCH_JOBS_PATH, ITEMS = "/lots/", "/items/"
MAX_WAIT_MS = 1000
RETRY_AFTER_S = 0.2
OVERLOAD_RETRY_AFTER_S = 0.5  # the link has sent the queued commits by then (store/write_capacity.py)


class BatchApi:
    """Serves batch jobs over HTTP. Owned by the front's process; the proxy calls it."""

    def __init__(self, store: StoreClient) -> None:
        """Sends commands to the primary through `store`."""
        self._store = store

    async def serve_route(self, request: ClientRequest, send: Send) -> None:
        """Serves a request on a batch route: submits a batch job."""
        if request.method != "POST":
            await respond_json(send, 405, {"error": "lots are handed in with POST"})
            return
        job = (request.header(b"request-id") or b"").decode("latin-1")
        if not job:
            await respond_json(send, 400, {"error": "Request-Id: is missing"})
            return
        try:
            items = parse_batch_job(request.body)
        except MalformedBatchJobError as error:
            await respond_json(send, 400, {"error": str(error)})
            return
        outcome = await self._store.call(
            commands.SubmitBatchJob(job, request.host, request.path, items), SUBMIT_TIMEOUT_S
        )
        await self._respond(outcome, send, 202)

    async def serve_without_route(self, request: ClientRequest, send: Send) -> bool:
        """Serves the paths to read and end batch jobs; returns False for any other path or method."""
        if request.path.startswith(BATCH_JOBS_PATH) and request.method in ("GET", "DELETE"):
            job = unquote(request.path[len(BATCH_JOBS_PATH) :])
            if request.method == "DELETE":
                await self._respond(
                    await self._store.call(commands.EndBatchJob(job), SUBMIT_TIMEOUT_S), send, 200
                )
            else:
                await self._read(job, request, send)
            return True
        if request.path.startswith(ITEMS) and request.method == "GET":
            wanted = first_value(request.query, "id")
            command = commands.ReadItemBody(unquote(request.path[len(ITEMS) :]), wanted or "")
            await self._respond(await self._store.call(command, READ_TIMEOUT_S), send, 200)
            return True
        return False

    async def _read(self, job_id: str, request: ClientRequest, send: Send) -> None:
        start = parse_whole_number(first_value(request.query, "startAfter") or "0")
        longest_wait_ms = parse_whole_number(request.header(b"wait-ms") or b"0")
        if start is None or longest_wait_ms is None:
            await respond_json(send, 400, {"error": "startAfter and Wait-Ms: must be whole numbers"})
            return
        wait_ms = min(longest_wait_ms, MAX_WAIT_MS)
        command = commands.ReadBatchJob(job_id, start, wait_ms)
        timeout_s = wait_ms / 1000 + READ_TIMEOUT_S
        outcome = await self._store.call(command, timeout_s, confirm_s=wait_ms / 1000 + 0.6)
        if isinstance(outcome, outcomes.BatchJobPage):
            results = [{"id": x.item, "state": x.state, "text": x.text} for x in outcome.results]
            page = {"total": outcome.total, "nextToken": start + len(results), "results": results}
            await respond_json(send, 200, page)
        else:
            await self._respond(outcome, send, 200)

    @staticmethod
    async def _respond(outcome: FrontOutcome, send: Send, done_status: int) -> None:
        """Responds with the outcome of a command."""
        match outcome:
            case outcomes.Done():
                await respond_json(send, done_status, {})
            case outcomes.ItemBody(body):
                await respond(send, 200, body, [(b"content-type", b"application/octet-stream")])
            case outcomes.NotFound():
                await respond_json(send, 404, {"error": "there is no such lot or item"})
            case outcomes.Rejected(503, reason):
                await respond_unavailable(send, reason, OVERLOAD_RETRY_AFTER_S)
            case outcomes.Rejected(status, reason):
                await respond_json(send, status, {"error": reason}, [(b"retry-after", b"1")])
            case outcomes.Indeterminate(reason):
                await respond_json(send, 504, {"error": reason})
            case _:
                await respond_unavailable(send, "no store machine decides at this moment", RETRY_AFTER_S)


def first_value(query: bytes, name: str) -> str | None:
    """Returns the first value of a query parameter, or None."""
    values = parse_qs(query.decode("latin-1")).get(name)
    return values[0] if values else None
