"""The lease of a primary, renewed by responses of a majority of the witnesses to a numbered heartbeat.

A witness that has responded to a heartbeat promises no other replica a term for LEADER_STICKINESS_S. LEASE_S
is shorter and runs from when the heartbeat was sent, so the lease expires before another primary can be
elected.
"""

from crowwing.tier.replication.terms import majority
from crowwing.tier.replication.timing import HEARTBEAT_HISTORY_S, LEASE_S


class Lease:
    """Created for each view that the replica leads; the last one remains after it steps down.

    Attributes:
        active_since: when the view began.
        confirmed_at: latest send time of a heartbeat or Accept that a majority of the witnesses acknowledged.
        is_released: whether the lease was permanently released in the present term.
        sequence: the number of the newest heartbeat.
    """

    def __init__(self, now: float, confirmed_at: float) -> None:
        """The lease of a view that begins `now`; it runs from `confirmed_at`."""
        self.active_since = now
        self.confirmed_at = confirmed_at
        self.is_released = False
        self.sequence = 0
        self._sent_at: dict[int, float] = {}
        self._acknowledged_by: dict[int, set[str]] = {}

    def is_valid(self, now: float) -> bool:
        """Whether no other replica can be primary while the owner of this lease is."""
        return not self.is_released and now - self.confirmed_at < LEASE_S

    def start_round(self, now: float, me: str) -> int:
        """Returns the number of a new heartbeat, and drops heartbeats older than HEARTBEAT_HISTORY_S."""
        self.sequence += 1
        self._sent_at[self.sequence] = now
        self._acknowledged_by[self.sequence] = {me}
        for old in [number for number, at in self._sent_at.items() if now - at > HEARTBEAT_HISTORY_S]:
            del self._sent_at[old], self._acknowledged_by[old]
        return self.sequence

    def acknowledge(self, sequence: int, sender: str, witnesses: tuple[str, ...]) -> None:
        """Counts one response; the lease runs from when the heartbeat was sent."""
        if sequence not in self._acknowledged_by:
            return
        self._acknowledged_by[sequence].add(sender)
        if self.has_majority(sequence, witnesses):
            self.confirmed_at = max(self.confirmed_at, self._sent_at[sequence])

    def has_majority(self, sequence: int, witnesses: tuple[str, ...]) -> bool:
        """Whether a majority of the witnesses has responded to one heartbeat."""
        return len(self._acknowledged_by[sequence] & set(witnesses)) >= majority(len(witnesses))

    def is_confirmed(self, sequence: int, witnesses: tuple[str, ...]) -> bool:
        """Whether a majority of the witnesses has responded to this heartbeat or a later one."""
        return any(
            sequence <= later and self.has_majority(later, witnesses) for later in self._acknowledged_by
        )
