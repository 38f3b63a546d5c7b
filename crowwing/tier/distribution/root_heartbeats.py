"""The root's heartbeats, which show every backend that its branch of the tree is connected to the root."""

import asyncio
import contextlib

from crowwing.tier.distribution.children import Children
from crowwing.tier.distribution.root_tracker import RootRole, RootTracker

ROOT_HEARTBEAT_INTERVAL_S = 0.25


class RootHeartbeats:
    """Sends numbered heartbeats down the tree while this backend is the root. Owned by `Relay`."""

    def __init__(self, host: str, root_role: RootRole, tracker: RootTracker, children: Children) -> None:
        """Creates the heartbeat sender of a backend.

        Args:
            host: the address of this backend.
            root_role: tells whether this backend is the root, and in which term.
            tracker: records each heartbeat, as if it had arrived from a parent.
            children: the receivers of the heartbeats.
        """
        self._host = host
        self._root_role = root_role
        self._tracker = tracker
        self._children = children
        self._is_due = asyncio.Event()

    def send_now(self) -> None:
        """Makes the next heartbeat due immediately; called when this backend becomes the root."""
        self._is_due.set()

    async def run(self) -> None:
        """Sends a heartbeat every interval while this backend is the root; runs forever."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ROOT_HEARTBEAT_INTERVAL_S):
                    await self._is_due.wait()
            self._is_due.clear()
            term_number = self._root_role.term_number()
            if term_number is not None:
                self._send(term_number)

    def _send(self, term_number: int) -> None:
        last_term_number, last_count = self._tracker.last_heartbeat
        count = last_count + 1 if last_term_number == term_number else 1
        self._tracker.record_heartbeat((term_number, count), self._host)
        self._tracker.record_front_count(self._root_role.count_fronts())
        self._children.send_heartbeats()
