"""The run of one batch item: its request to sidecars, its restarts after preemption, and its report."""

import asyncio
import logging
import secrets
import time
from dataclasses import dataclass, field

from crowwing.tier.configuration import Route
from crowwing.tier.front.admission import AdmissionRequest, rank_of
from crowwing.tier.front.complete_body import OK_STATUS
from crowwing.tier.front.dispatch import Dispatcher, OpenResponse, SidecarRequest
from crowwing.tier.front.errors import StreamBrokenError
from crowwing.tier.front.prefix_cache import parse_prompt_prefix
from crowwing.tier.front.service_pool import ServicePool
from crowwing.tier.front.upstream import Headers, read_body
from crowwing.tier.state.events import COMPLETED, DEAD_LETTER, ItemResult
from crowwing.tier.store import commands, outcomes

log = logging.getLogger("crowwing.lots")

QUEUE_TIMEOUT_S = 2.0  # how long an item is queued for admission before it is returned to the primary
RESUMED_QUEUE_TIMEOUT_S = 10.0  # the same for a preempted item, which keeps the events received so far
RUN_TIMEOUT_S = 30.0
FAILED_START_PAUSE_S = 0.15  # before an item that no sidecar accepted is returned to the primary
RUN_ATTEMPTS = 4  # attempts of one run that may execute the item, including those that resume it
ATTEMPT_ID_BYTES = 6  # length of the random id of a failed attempt
DEAD_LETTER_STATUS = 422  # from a sidecar: the item can never be completed
FAILED_STATUS = 500  # from a sidecar: the attempt counts as failed

ItemReport = commands.ReportItemResult | commands.ReportItemFailure


@dataclass
class ItemRun:
    """The run of a leased item. Created by `BatchJobRunner`, one per lease.

    Attributes:
        leased: The item.
        route: Its route.
        service: The service that runs it.
        request: The request to sidecars; it tracks the last event received.
        data: The data of all events received so far.
    """

    leased: outcomes.LeasedItem
    route: Route
    service: str
    request: SidecarRequest
    data: list[str] = field(default_factory=list)

    async def run(self, pool: ServicePool, dispatcher: Dispatcher) -> ItemReport | None:
        """Runs the item, and resumes it after its last event whenever live requests have preempted it.

        Returns:
            The report for the primary; None if the item is returned without a result.
        """
        latency_target_s = (self.route.completion_slo_ms or self.route.slo_ms) / 1000
        while True:
            if not await pool.admit(
                self.service, self._admission_request(latency_target_s), latency_target_s
            ):
                return None
            work = asyncio.ensure_future(self._run_admitted(dispatcher))
            pool.items.add(self.service, work)
            try:
                await asyncio.wait({work})
            finally:
                pool.items.remove(self.service, work)
                work.cancel()
                pool.release(self.service)
            if not work.cancelled():
                return work.result()
            self.request.tried.clear()
            if self.request.last_event is None:
                self.data.clear()  # nothing to resume from: it restarts from the beginning

    def _admission_request(self, latency_target_s: float) -> AdmissionRequest:
        now = time.monotonic()
        waited = min(1.0, self.leased.age_ms / 1000 / latency_target_s)
        rank = rank_of(self.route.priority, waited)
        queue_timeout_s = RESUMED_QUEUE_TIMEOUT_S if self.data else QUEUE_TIMEOUT_S
        return AdmissionRequest(self.route.name, rank, now, now + queue_timeout_s, is_batch_item=True)

    async def _run_admitted(self, dispatcher: Dispatcher) -> ItemReport | None:
        response = await dispatcher.open(self.request)
        if not isinstance(response, OpenResponse):
            await asyncio.sleep(FAILED_START_PAUSE_S)
            return None
        status = response.started.status
        if status == OK_STATUS:
            return await self._collect(dispatcher, response)
        await _read_to_end(dispatcher, response)
        job_id, item_id = self.leased.job_id, self.leased.item.id
        if status == DEAD_LETTER_STATUS:
            return commands.ReportItemResult(job_id, item_id, ItemResult(item_id, DEAD_LETTER, ""))
        if status == FAILED_STATUS:
            return commands.ReportItemFailure(job_id, item_id, secrets.token_hex(ATTEMPT_ID_BYTES))
        return None

    async def _collect(self, dispatcher: Dispatcher, response: OpenResponse) -> ItemReport | None:
        job_id, item_id = self.leased.job_id, self.leased.item.id
        events = dispatcher.events(self.request, response)
        try:
            async for event in events:
                if event.has_data:
                    self.data.append(event.data)
        except StreamBrokenError as error:
            log.info("item_broken job=%s item=%s reason=%s", job_id, item_id, error)
            return None
        finally:
            await events.aclose()
        result = ItemResult(item_id, COMPLETED, "\n".join(self.data))
        return commands.ReportItemResult(job_id, item_id, result)


async def _read_to_end(dispatcher: Dispatcher, response: OpenResponse) -> None:
    """Reads and discards the body of an error response, so that the connection can be reused."""
    try:
        async for _ in read_body(response.started):
            pass
    except StreamBrokenError:
        pass
    finally:
        await dispatcher.close(response)


def make_item_run(leased: outcomes.LeasedItem, route: Route, service: str) -> ItemRun:
    """Creates the run of an item that was just leased."""
    item = leased.item
    headers: Headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in item.headers
        if name.lower() not in ("host", "request-id")
    ]
    request_id = item.id.encode("latin-1")
    headers += [(b"Host", leased.host.encode("latin-1")), (b"Request-Id", request_id)]
    prompt_prefix = next((value for name, value in item.headers if name.lower() == "prompt-prefix"), "")
    request = SidecarRequest(
        method="POST",
        target=item.path.encode("latin-1"),
        headers=headers,
        body=item.body,
        request_id=request_id,
        route=route,
        service=service,
        blocks=parse_prompt_prefix(prompt_prefix),
        deadline=time.monotonic() + RUN_TIMEOUT_S,
        attempts_left=RUN_ATTEMPTS,
    )
    return ItemRun(leased, route, service, request)
