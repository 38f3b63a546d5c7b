"""What a backend knows about the root of the relay tree, from its own replica and from heartbeats."""

from collections.abc import Callable
from dataclasses import dataclass

from crowwing.tier.clock import Clock
from crowwing.tier.distribution.messages import HeartbeatNumber

ROOT_TIMEOUT_S = 0.9  # a backend that gets no new heartbeat for this long counts as disconnected


def _none() -> None:
    return None


def _zero() -> int:
    return 0


@dataclass(frozen=True)
class RootRole:
    """What the replica in this process knows about the root. A front has no replica and uses the defaults.

    Attributes:
        term_number: returns the number of the term in which this backend is the root; None if it is not.
        probable_root: returns the address of the backend that is probably the root; None if unknown.
        count_fronts: returns how many fronts call this backend while it is the root; 0 if not known yet.
    """

    term_number: Callable[[], int | None] = _none
    probable_root: Callable[[], str | None] = _none
    count_fronts: Callable[[], int] = _zero

    @property
    def is_root(self) -> bool:
        """Whether this backend is the root, which is the primary of the store machines."""
        return self.term_number() is not None


class RootTracker:
    """The newest heartbeat of the root that this backend has received, and the data that came with it.

    Owned by `Relay` and shared by its parts.
    """

    def __init__(self, clock: Clock) -> None:
        """Starts as connected, so that a backend has `ROOT_TIMEOUT_S` to find a parent.

        Args:
            clock: measures the time since the last heartbeat.
        """
        self.last_heartbeat: HeartbeatNumber = (-1, 0)
        self.last_heartbeat_at = clock.monotonic()
        self.root: str | None = None
        self.front_count = 0  # the latest count by a root; 0 before the first
        self.on_root_changed: list[Callable[[str], None]] = []
        self._clock = clock

    @property
    def seconds_since_heartbeat(self) -> float:
        """Time since the last new heartbeat of the root, in seconds."""
        return self._clock.monotonic() - self.last_heartbeat_at

    @property
    def is_connected(self) -> bool:
        """Whether a new heartbeat of the root arrived within `ROOT_TIMEOUT_S`."""
        return self.seconds_since_heartbeat < ROOT_TIMEOUT_S

    def record_heartbeat(self, heartbeat: HeartbeatNumber, root: str | None) -> bool:
        """Records a heartbeat if its number is higher than that of the last one.

        Heartbeats of a former root may continue to arrive in a part of the tree after there is a new root,
        and circulate forever in a cycle of parents. Only higher numbers count, so that such a branch notices
        that it is disconnected.

        Args:
            heartbeat: the number of the heartbeat.
            root: the address of the root that sent it; None if the sender did not know it.

        Returns:
            Whether the heartbeat was newer.
        """
        if heartbeat <= self.last_heartbeat:
            return False
        self.last_heartbeat = heartbeat
        self.last_heartbeat_at = self._clock.monotonic()
        if root is not None and root != self.root:
            self.root = root
            for listener in self.on_root_changed:
                listener(root)
        return True

    def record_front_count(self, count: int) -> None:
        """Records the number of fronts.

        Args:
            count: the number; 0 comes from a root that does not know it yet, and is ignored.
        """
        if count > 0:
            self.front_count = count
