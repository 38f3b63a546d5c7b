"""What a backend knows of the root of the relay tree: by its own role, and from heartbeats."""

from collections.abc import Callable
from dataclasses import dataclass

from crowwing.tier.clock import Clock
from crowwing.tier.distribution.messages import HeartbeatNumber

ROOT_TIMEOUT_S = 0.9  # without a new heartbeat of the root, a backend counts as disconnected


def _none() -> None:
    return None


def _zero() -> int:
    return 0


@dataclass(frozen=True)
class RootRole:
    """What the replica in this backend's own process knows of the root; a front has none, and the defaults.

    Attributes:
        term_number: the number of the term in which this backend is the root, None where it is not.
        probable_root: the address of the backend that may be the root.
        count_fronts: how many fronts call this backend while it is the root, 0 where it does not know yet.
    """

    term_number: Callable[[], int | None] = _none
    probable_root: Callable[[], str | None] = _none
    count_fronts: Callable[[], int] = _zero

    @property
    def is_root(self) -> bool:
        """Whether this backend is the primary of the store machines."""
        return self.term_number() is not None


class RootTracker:
    """The newest heartbeat of the root that this backend has seen, and what came with it.

    The `Relay` owns it and its parts share it.
    """

    def __init__(self, clock: Clock) -> None:
        """Starts as connected, so that a backend has `ROOT_TIMEOUT_S` to find a parent.

        Args:
            clock: tells how long ago a heartbeat came.
        """
        self.last_heartbeat: HeartbeatNumber = (-1, 0)
        self.last_heartbeat_at = clock.monotonic()
        self.root: str | None = None
        self.front_count = 0  # as a root has counted them last; 0 before any has
        self.on_root_changed: list[Callable[[str], None]] = []
        self._clock = clock

    @property
    def seconds_since_heartbeat(self) -> float:
        """How long ago the root's last heartbeat came, in seconds."""
        return self._clock.monotonic() - self.last_heartbeat_at

    @property
    def is_connected(self) -> bool:
        """Whether the root's heartbeats arrive."""
        return self.seconds_since_heartbeat < ROOT_TIMEOUT_S

    def record_heartbeat(self, heartbeat: HeartbeatNumber, root: str | None) -> bool:
        """Takes in a heartbeat.

        Those of an earlier root go on in a part of the tree after there is a new one, and in a circle of
        parents for ever; only higher numbers count, so that such a branch notices that it is cut off.

        Args:
            heartbeat: its number.
            root: the address of its root, None where the sender did not know it.

        Returns:
            False where it is no newer one.
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
        """Takes in a count of fronts.

        Args:
            count: 0 comes from a root that does not know yet, and leaves the former one in force.
        """
        if count > 0:
            self.front_count = count
