"""The traffic classes of a store machine's messages."""

import asyncio
from typing import Any, cast

import pytest
import uvloop

from crowwing.tier.clock import SYSTEM_CLOCK
from crowwing.tier.replication import messages
from crowwing.tier.replication.core import Role
from crowwing.tier.replication.terms import LOG_START, NO_TERM, View
from crowwing.tier.settings import Limits
from crowwing.tier.store import commands, outcomes
from crowwing.tier.store.traffic_classes import make_classify
from crowwing.tier.wire.connection import Connection
from crowwing.tier.wire.connection_pool import ConnectionPool
from crowwing.tier.wire.egress import EgressPacer
from crowwing.tier.wire.server import serve
from crowwing.tier.wire.traffic import TrafficClass

HOST = "127.0.0.1"
SYNC = messages.SyncRequest(NO_TERM, "a", LOG_START, (), LOG_START)
DIGESTS = messages.RangeDigests(NO_TERM, "a", LOG_START, (), False)
RANGES = messages.RangesResponse(NO_TERM, "a", LOG_START, ())
JOB = commands.SubmitBatchJob("j", "h", "/", ())


@pytest.mark.parametrize(
    ("body", "traffic_class"),
    [
        (messages.AppendRequest(NO_TERM, "a", ()), TrafficClass.REPLICATION),
        (messages.AppendResponse(NO_TERM, "a", 1), TrafficClass.CONTROL),
        (messages.Heartbeat(NO_TERM, "a", 1, View(NO_TERM, (), ())), TrafficClass.CONTROL),
        (commands.ForwardedCommand(JOB), TrafficClass.RESPONSE),
        (commands.ForwardedCommand(commands.PutConfiguration(1, b"")), TrafficClass.CONTROL),
        (outcomes.LeaseItemsResponse((), ()), TrafficClass.RESPONSE),
        (outcomes.CurrentConfiguration(1, b""), TrafficClass.CONTROL),
        (outcomes.Rejected(503, ""), TrafficClass.CONTROL),
        ("the text of a failure", TrafficClass.CONTROL),
    ],
)
def test_only_messages_that_carry_data_are_bulk(body: object, traffic_class: TrafficClass) -> None:
    assert make_classify(lambda: Role.PRIMARY)(body) is traffic_class


@pytest.mark.parametrize("body", [SYNC, DIGESTS, RANGES])
def test_sync_data_is_urgent_from_a_candidate_and_catch_up_from_a_primary(body: object) -> None:
    assert make_classify(lambda: Role.CANDIDATE)(body) is TrafficClass.REPLICATION
    assert make_classify(lambda: Role.PRIMARY)(body) is TrafficClass.CATCH_UP


def test_the_link_rate_is_unknown_by_default() -> None:
    assert Limits.model_validate({}).link_mbps == 0
    assert Limits.model_validate({"linkMbps": 120.5}).link_mbps == 120.5


def test_paced_connections_carry_long_messages_in_both_directions() -> None:
    bodies = [bytes([number]) * (number * 60_000) for number in range(1, 12)]

    async def echo(_connection: Connection, body: Any) -> Any:  # noqa: ANN401
        return body

    async def play() -> None:
        pacer = EgressPacer(200.0, SYSTEM_CLOCK, lambda _: TrafficClass.RESPONSE)
        server = cast("asyncio.Server", await serve(HOST, 0, echo, pacer=pacer))
        connections = ConnectionPool(server.sockets[0].getsockname()[1], pacer=pacer)
        answers = await asyncio.gather(*(connections.call(HOST, body, 10.0) for body in bodies))
        assert answers == bodies
        connections.close()
        server.close()

    uvloop.run(play())
