"""The vote before a term: a member asks the witnesses whether they would help it before it opens a term.

A machine that is cut off alone finds nobody willing, so it raises no term, and the primary need not change
its view to get above that one when the cut is over. Nothing of this is kept on disk.
"""

import logging

from crowwing.tier.replication import messages
from crowwing.tier.replication.candidate import Candidate
from crowwing.tier.replication.replica_state import Role
from crowwing.tier.replication.terms import majority
from crowwing.tier.replication.timing import LEADER_STICKINESS_S, PRE_VOTE_RETRY_S

log = logging.getLogger("crowwing.replication")


class PreVote(Candidate):
    """Both sides of the vote before a term."""

    def _ask_prevotes(self, now: float) -> None:
        """Asks all witnesses, and again after a while; campaigns at once where no other one is needed."""
        if now - self._prevote_at < PRE_VOTE_RETRY_S:
            return
        assert self.view is not None
        self._prevote_at = now
        self._willing = {self.me}
        for witness in sorted(set(self.view.witnesses) - {self.me}):
            self._send(witness, messages.PreVoteRequest(self.promised, self.me))
        self._count_prevotes(now)

    def _on_pre_vote_request(self, now: float, request: messages.PreVoteRequest) -> None:
        if self.recovered:
            self._send(
                request.sender,
                messages.PreVoteResponse(request.term, self.me, self._would_promise(now, request.sender)),
            )

    def _would_promise(self, now: float, candidate: str) -> bool:
        """Whether this replica knows of no primary that lives."""
        if self.role is Role.PRIMARY:
            return not self.holds_lease(now)
        if now - self.started_at < LEADER_STICKINESS_S and self._remembers:
            return False  # it may have vouched for a primary just before it ended
        return self.leader in (None, candidate) or now - self.leader_heard >= LEADER_STICKINESS_S

    def _on_pre_vote_response(self, now: float, response: messages.PreVoteResponse) -> None:
        if self.role is not Role.FOLLOWER or response.term != self.promised or now < self._campaign_at:
            return
        if response.willing:
            self._willing.add(response.sender)
            self._count_prevotes(now)
        else:
            self._ask_to_join(now)

    def _count_prevotes(self, now: float) -> None:
        witnesses = self.view.witnesses if self.view is not None else ()
        if len(self._willing & set(witnesses)) >= majority(len(witnesses)) and self._may_lead():
            self._willing = set()
            self.start_campaign(now)
