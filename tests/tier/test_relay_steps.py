"""Single steps of the relay tree: messages of a former root, disconnected parents, and front counts."""

import asyncio
from random import Random

from crowwing.tier.distribution.documents import SIDECARS, Document, Documents
from crowwing.tier.distribution.environment import RelayEnvironment
from crowwing.tier.distribution.messages import (
    AttachRedirect,
    AttachRequest,
    AttachResponse,
    DocumentPush,
    RootHeartbeat,
)
from crowwing.tier.distribution.relay import Relay
from crowwing.tier.distribution.sampling import Peer
from crowwing.tier.wire.connection import Connection
from crowwing.tier.wire.connection_pool import ConnectionPool


def relay_of(host: str) -> Relay:
    """Returns the relay of a backend without connections."""
    environment = RelayEnvironment(ConnectionPool(1), Random(1))
    return Relay(Peer(host, "front", "z", 0), ("a",), Documents(), environment)


def test_heartbeats_and_lists_of_an_old_root_are_ignored_after_a_new_ones() -> None:
    async def scenario() -> None:
        relay = relay_of("f")
        parent = object.__new__(Connection)
        relay.parent.connection = parent
        roots: list[str] = []
        relay.tracker.on_root_changed.append(roots.append)
        for heartbeat, root in (((5, 1), "a"), ((6, 1), "c"), ((5, 2), "a"), ((6, 1), "a"), ((6, 2), "c")):
            await relay.handle(parent, RootHeartbeat(heartbeat, root, {}, 0))
        assert roots == ["a", "c"] and relay.tracker.root == "c"
        await relay.handle(parent, DocumentPush(Document(SIDECARS, (6, 1), b"new")))
        await relay.handle(parent, DocumentPush(Document(SIDECARS, (5, 40), b"old")))
        current = relay.documents.get(SIDECARS)
        assert current is not None and current.body == b"new"

    asyncio.run(scenario())


def test_a_disconnected_backend_accepts_no_children() -> None:
    relay = relay_of("f")
    child = object.__new__(Connection)
    child.is_closed = False
    assert isinstance(relay.children.attach(child, AttachRequest("g", {})), AttachResponse)
    relay.tracker.last_heartbeat_at -= 10
    assert relay.children.attach(child, AttachRequest("h", {})) == AttachRedirect(())


def test_a_root_that_has_not_counted_the_fronts_leaves_the_former_count_in_force() -> None:
    async def scenario() -> None:
        relay = relay_of("f")
        parent = object.__new__(Connection)
        relay.parent.connection = parent
        await relay.handle(parent, RootHeartbeat((5, 1), "a", {}, 72))
        await relay.handle(parent, RootHeartbeat((6, 1), "c", {}, 0))
        assert relay.tracker.front_count == 72, "a count of 0 is ignored"
        await relay.handle(parent, RootHeartbeat((6, 2), "c", {}, 60))
        assert relay.tracker.front_count == 60
        child = object.__new__(Connection)
        child.is_closed = False
        attached = relay.children.attach(child, AttachRequest("g", {}))
        assert isinstance(attached, AttachResponse) and attached.front_count == 60, (
            "a newly attached child gets the front count"
        )

    asyncio.run(scenario())
