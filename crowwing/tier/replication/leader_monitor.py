"""Whom a replica takes for the primary, and until when it helps nobody else."""

from crowwing.tier.replication.terms import NO_TERM, Term
from crowwing.tier.replication.timing import ELECTION_TIMEOUT_S, LEADER_STICKINESS_S, STARTUP_LISTEN_S


class LeaderMonitor:
    """What a replica has heard of the primary in this incarnation.

    Attributes:
        leader: the replica that it takes for the primary, if any.
        heard_at: when it last heard of that one; the start of this incarnation before.
        campaign_at: from when on it may campaign itself.
        listen_until: until when it listens after its start for a primary that is there already.
        started_at: when this incarnation began.
        has_earlier_incarnation: whether the disk held records of an earlier one.
    """

    def __init__(self, now: float, started: float | None) -> None:
        """`started`: when this incarnation began, if that was before `now`."""
        self.started_at = now if started is None else started
        self.leader: str | None = None
        self.heard_at = self.started_at
        self.campaign_at = now + ELECTION_TIMEOUT_S
        self.listen_until = now + STARTUP_LISTEN_S
        self.has_earlier_incarnation = False
        self._acknowledged_term: Term = (
            NO_TERM  # the highest term whose leader this replica may have answered
        )

    def record_contact(self, now: float, leader: str, term: Term) -> None:
        """Notes a message of the leader of a term, who may count the response for its lease."""
        self.leader, self.heard_at = leader, now
        self._acknowledged_term = max(self._acknowledged_term, term)

    def is_alive(self, now: float, candidate: str) -> bool:
        """Whether a primary other than the candidate was heard so recently that it may hold a lease."""
        leader_age_s = now - self.heard_at
        return self.leader not in (None, candidate) and leader_age_s < LEADER_STICKINESS_S

    def may_have_granted_lease_before_restart(self, now: float) -> bool:
        """Whether an earlier incarnation may have vouched for a lease just before it ended."""
        return now - self.started_at < LEADER_STICKINESS_S and self.has_earlier_incarnation

    def is_lease_released(self, released: Term) -> bool:
        """Whether the one lease that this replica may have vouched for has been given up."""
        return released != NO_TERM and released >= self._acknowledged_term

    def may_campaign(self, now: float) -> bool:
        """Whether the primary has been silent for so long that this replica may take its place."""
        is_silent = now - self.heard_at >= LEADER_STICKINESS_S
        return is_silent and now >= max(self.campaign_at, self.listen_until)
