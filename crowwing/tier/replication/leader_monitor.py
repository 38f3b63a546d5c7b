"""The primary as known to a replica, and for how long the replica refuses to promise others a term."""

from crowwing.tier.replication.terms import NO_TERM, Term
from crowwing.tier.replication.timing import ELECTION_TIMEOUT_S, LEADER_STICKINESS_S, STARTUP_LISTEN_S


class LeaderMonitor:
    """Contact with the primary in this incarnation.

    Attributes:
        leader: the presumed primary, if any.
        heard_at: when its last message arrived; initially the start of this incarnation.
        campaign_at: when the election timer expires.
        listen_until: end of the wait for an existing primary after a start.
        started_at: when this incarnation began.
        has_earlier_incarnation: whether the disk held records of an earlier incarnation.
    """

    def __init__(self, now: float, started: float | None) -> None:
        """`started`: when this incarnation began, if that was before `now`."""
        self.started_at = now if started is None else started
        self.leader: str | None = None
        self.heard_at = self.started_at
        self.campaign_at = now + ELECTION_TIMEOUT_S
        self.listen_until = now + STARTUP_LISTEN_S
        self.has_earlier_incarnation = False
        # The highest term whose leader this replica may have sent a heartbeat response.
        self._acknowledged_term: Term = NO_TERM

    def record_contact(self, now: float, leader: str, term: Term) -> None:
        """Records a message of the leader of `term`; the response to it may extend the leader's lease."""
        self.leader, self.heard_at = leader, now
        self._acknowledged_term = max(self._acknowledged_term, term)

    def is_alive(self, now: float, candidate: str) -> bool:
        """Whether a primary other than the candidate sent a message so recently that it may hold a lease."""
        leader_age_s = now - self.heard_at
        return self.leader not in (None, candidate) and leader_age_s < LEADER_STICKINESS_S

    def may_have_granted_lease_before_restart(self, now: float) -> bool:
        """Whether a lease that an earlier incarnation acknowledged may still be valid."""
        return now - self.started_at < LEADER_STICKINESS_S and self.has_earlier_incarnation

    def is_lease_released(self, released: Term) -> bool:
        """Whether the newest lease that this replica may have acknowledged has been released."""
        return released != NO_TERM and released >= self._acknowledged_term

    def may_campaign(self, now: float) -> bool:
        """Whether the election timer has expired, and with it any lease that this replica acknowledged."""
        has_timed_out = now - self.heard_at >= LEADER_STICKINESS_S
        return has_timed_out and now >= max(self.campaign_at, self.listen_until)
