"""Assigns a traffic class to each message of a store machine."""

from collections.abc import Callable

from crowwing.tier.replication.core import Role
from crowwing.tier.replication.messages import AppendRequest, RangeDigests, RangesResponse, SyncRequest
from crowwing.tier.store import commands, outcomes
from crowwing.tier.wire.traffic import Classify, TrafficClass

SYNC_MESSAGES = (SyncRequest, RangeDigests, RangesResponse)  # data from a candidate or primary
LONG_MESSAGES = (
    commands.SubmitBatchJob,
    outcomes.LeaseItemsResponse,
    outcomes.BatchJobPage,
    outcomes.ItemBody,
)


def make_classify(role: Callable[[], Role]) -> Classify:
    """Returns the function that determines the class of a message.

    A new view waits for the data that its candidate sends; a primary sends the same messages to replicas that
    are catching up, and nothing waits for these.

    Args:
        role: Returns the role of this machine's replica.
    """

    def classify(body: object) -> TrafficClass:
        if isinstance(body, commands.ForwardedCommand):
            body = body.command
        if isinstance(body, AppendRequest):
            return TrafficClass.REPLICATION
        if isinstance(body, LONG_MESSAGES):
            return TrafficClass.RESPONSE
        if isinstance(body, SYNC_MESSAGES):
            return TrafficClass.REPLICATION if role() is Role.CANDIDATE else TrafficClass.CATCH_UP
        return TrafficClass.CONTROL

    return classify
