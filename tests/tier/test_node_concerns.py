"""Unit tests of the parts of a store machine: pending decisions, role notifications, message delivery."""

import asyncio

from crowwing.tier.replication.core import Role
from crowwing.tier.replication.messages import Message, RecoveryRequest
from crowwing.tier.store import outcomes
from crowwing.tier.store.message_sender import MessageSender, ReplicaConnections
from crowwing.tier.store.pending_decisions import PendingDecisions
from crowwing.tier.store.role_notifier import RoleNotifier
from crowwing.tier.wire.connection import Connection
from crowwing.tier.wire.connection_pool import ConnectionPool
from tests.tier.simulation.world import World


def test_decisions_resolve_up_to_the_commit_index_and_the_others_stay() -> None:
    async def scenario() -> None:
        decisions = PendingDecisions()
        first, second = decisions.add(3), decisions.add(4)
        decisions.resolve(3)
        assert first.result() is True and not second.done()
        decisions.resolve(4)
        assert second.result() is True

    asyncio.run(scenario())


def test_decisions_of_a_former_primary_are_abandoned_once() -> None:
    async def scenario() -> None:
        decisions = PendingDecisions()
        committed, timed_out, pending = decisions.add(1), decisions.add(2), decisions.add(3)
        decisions.resolve(1)
        timed_out.cancel()
        decisions.abandon()
        assert committed.result() is True and timed_out.cancelled() and pending.result() is False
        decisions.resolve(9)
        assert pending.result() is False, "a later primary's commits must not resolve it"

    asyncio.run(scenario())


def test_listeners_are_notified_of_a_role_change_but_not_of_a_change_of_the_own_view() -> None:
    notifier = RoleNotifier()
    notified: list[bool] = []
    notifier.listeners.append(notified.append)
    notifier.notify(Role.CANDIDATE)
    assert not notified and not notifier.is_changing_own_view(Role.CANDIDATE)
    notifier.notify(Role.PRIMARY)
    assert notifier.is_changing_own_view(Role.CANDIDATE)
    notifier.notify(Role.CANDIDATE)
    notifier.notify(Role.PRIMARY)
    assert notified == [True]
    notifier.notify(Role.FOLLOWER)
    notifier.notify(Role.FOLLOWER)
    assert notified == [True, False]
    assert not notifier.is_changing_own_view(Role.CANDIDATE)


class RecordingPool(ConnectionPool):
    """A pool that records the messages to be sent."""

    def __init__(self) -> None:
        super().__init__(1)
        self.sent: list[tuple[list[str], object]] = []

    def notify_all(self, receivers: list[str], message: object) -> int:
        """Records the message; returns 0 as the length of the frame, since none is encoded."""
        self.sent.append((list(receivers), message))
        return 0


def test_a_message_to_several_replicas_is_sent_once_and_the_own_one_is_received() -> None:
    data, urgent = RecordingPool(), RecordingPool()
    received: list[Message] = []
    sender = MessageSender("m0", ReplicaConnections(data, urgent), received.append)
    message = RecoveryRequest("m0")
    sender.deliver([("m1", message), ("m0", message), ("m2", message)])
    assert received == [message]
    assert urgent.sent == [(["m1", "m2"], message)] and not data.sent


def test_an_outcome_in_the_place_of_a_command_is_rejected_with_its_wire_name() -> None:
    world = World(1, ("a",))
    world.run_for(1.0)
    machine = world.stores["a"].machine
    assert machine is not None
    connection = object.__new__(Connection)
    response = world.run(machine._handle(connection, outcomes.RetirementStatus(True)))
    assert response == outcomes.Rejected(400, "unknown command RetireState")
