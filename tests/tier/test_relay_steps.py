"""Single steps of the relay tree: beats and documents of an old root after a new one's."""

import asyncio
from random import Random

from crowwing.tier.distribution.documents import SIDECARS, Document, Documents
from crowwing.tier.distribution.relay import (
    AttachRedirect,
    AttachRequest,
    AttachResponse,
    DocumentPush,
    Relay,
    RootHeartbeat,
)
from crowwing.tier.distribution.sampling import Peer
from crowwing.tier.wire.connection import Connection
from crowwing.tier.wire.connection_pool import ConnectionPool


def relay_of(host: str) -> Relay:
    """A backend's place in the tree, without connections."""
    return Relay(Peer(host, "front", "z", 0), ("a",), Documents(), ConnectionPool(1), Random(1))


def test_beats_and_lists_of_an_old_root_are_not_taken_after_a_new_ones() -> None:
    async def play() -> None:
        relay = relay_of("f")
        parent = object.__new__(Connection)
        relay._parent = parent  # noqa: SLF001
        roots: list[str] = []
        relay.on_root.append(roots.append)
        for heartbeat, root in (((5, 1), "a"), ((6, 1), "c"), ((5, 2), "a"), ((6, 1), "a"), ((6, 2), "c")):
            await relay.handle(parent, RootHeartbeat(heartbeat, root, {}, 0))
        assert roots == ["a", "c"] and relay.root == "c"
        await relay.handle(parent, DocumentPush(Document(SIDECARS, (6, 1), b"new")))
        await relay.handle(parent, DocumentPush(Document(SIDECARS, (5, 40), b"old")))
        held = relay.documents.get(SIDECARS)
        assert held is not None and held.body == b"new"

    asyncio.run(play())


def test_a_backend_that_hears_no_root_takes_no_children() -> None:
    relay = relay_of("f")
    child = object.__new__(Connection)
    child.is_closed = False
    assert isinstance(relay._attach(child, AttachRequest("g", {})), AttachResponse)  # noqa: SLF001
    relay._heartbeat_at -= 10  # noqa: SLF001
    assert relay._attach(child, AttachRequest("h", {})) == AttachRedirect(())  # noqa: SLF001


def test_a_new_root_that_has_not_counted_the_fronts_yet_leaves_the_former_count_in_force() -> None:
    async def play() -> None:
        relay = relay_of("f")
        parent = object.__new__(Connection)
        relay._parent = parent  # noqa: SLF001
        await relay.handle(parent, RootHeartbeat((5, 1), "a", {}, 72))
        await relay.handle(parent, RootHeartbeat((6, 1), "c", {}, 0))
        assert relay.fronts == 72, "a count of 0 is none"
        await relay.handle(parent, RootHeartbeat((6, 2), "c", {}, 60))
        assert relay.fronts == 60
        child = object.__new__(Connection)
        child.is_closed = False
        attached = relay._attach(child, AttachRequest("g", {}))  # noqa: SLF001
        assert isinstance(attached, AttachResponse) and attached.fronts == 60, (
            "told to one that has just started"
        )

    asyncio.run(play())
