"""Recovery of a replica that lost its disk, after Viewstamped Replication Revisited (Liskov, Cowling 2012).

A term that it promised, or a view that it accepted, may be known only to a majority that includes it. So it
takes no part in decisions until enough others have reported what they have promised and accepted.
"""

import logging

from crowwing.tier.replication import messages
from crowwing.tier.replication.core import ReplicaCore
from crowwing.tier.replication.terms import majority
from crowwing.tier.replication.timing import RECOVERY_DELAY_S, RECOVERY_RETRY_S

log = logging.getLogger("crowwing.replication")


class Recovery:
    """Both sides of the recovery protocol."""

    def __init__(self, core: ReplicaCore) -> None:
        """The recovery component of one replica."""
        self._core = core
        self._requested: set[str] = set()  # peers that a request was sent to in this incarnation
        self._responses: dict[str, messages.RecoveryResponse] = {}

    def tick(self, now: float) -> None:
        """Sends recovery requests to all peers until this replica has recovered."""
        core = self._core
        is_due = now - core.peers.requested_at >= RECOVERY_RETRY_S
        if now - core.monitor.started_at >= RECOVERY_DELAY_S and is_due:
            core.peers.requested_at = now
            for peer in sorted(core.peers.known(core.durable.view)):
                self._requested.add(peer)
                core.send(peer, messages.RecoveryRequest(core.me))

    def on_request(self, _now: float, request: messages.RecoveryRequest) -> None:
        """Reports the promised term and the accepted view, if this replica knows them."""
        core = self._core
        core.peers.add([request.sender])
        if core.durable.recovered:
            response = messages.RecoveryResponse(core.me, core.durable.promised, core.durable.view)
            core.send(request.sender, response, durable=True)

    def on_response(self, _now: float, response: messages.RecoveryResponse) -> None:
        """Counts one response; adopts the highest term and view once there are enough responses.

        Every majority that this replica was part of has another member among the responders. It may have
        promised their highest term and accepted their highest view, so it adopts both. A candidate may still
        count a response that an earlier incarnation of this replica sent. The requests are sent only
        RECOVERY_DELAY_S into this incarnation, so that the other members of that candidate's majority have
        promised or accepted by then.
        """
        core = self._core
        if core.durable.recovered or response.sender not in self._requested:
            return  # a response to an earlier incarnation: its sender may have promised more since
        self._responses[response.sender] = response
        views = [answer.view for answer in self._responses.values() if answer.view is not None]
        if not views:
            return
        view = max(views, key=lambda view: view.term)
        core.peers.add(view.witnesses)
        answered = set(self._responses) & set(view.witnesses) - {core.me}
        count = len(view.witnesses)
        if len(answered) >= count - majority(count) + 1:
            core.durable.recovered = True
            core.durable.promise(max(answer.promised for answer in self._responses.values()))
            core.durable.adopt_view(view)
            log.info("recovered promised=%s", core.durable.promised)
