"""Recovery of a replica without its disk, after Viewstamped Replication Revisited (Liskov, Cowling 2012).

It may have promised a term, or accepted a view, that only a majority which it was a part of knows. So it
takes no part in decisions until enough others have told what they are bound to.
"""

import logging

from crowwing.tier.replication import messages
from crowwing.tier.replication.core import ReplicaCore
from crowwing.tier.replication.terms import majority
from crowwing.tier.replication.timing import RECOVERY_DELAY_S, RECOVERY_RETRY_S

log = logging.getLogger("crowwing.replication")


class Recovery:
    """Both sides of a recovery."""

    def __init__(self, core: ReplicaCore) -> None:
        """The recovery of one replica."""
        self._core = core
        self._requested: set[str] = set()  # peers that were asked in this incarnation
        self._responses: dict[str, messages.RecoveryResponse] = {}

    def tick(self, now: float) -> None:
        """Asks all peers, as long as this replica has not recovered."""
        core = self._core
        is_due = now - core.peers.requested_at >= RECOVERY_RETRY_S
        if now - core.monitor.started_at >= RECOVERY_DELAY_S and is_due:
            core.peers.requested_at = now
            for peer in sorted(core.peers.known(core.durable.view)):
                self._requested.add(peer)
                core.send(peer, messages.RecoveryRequest(core.me))

    def on_request(self, _now: float, request: messages.RecoveryRequest) -> None:
        """Tells what this replica is bound to, if it knows."""
        core = self._core
        core.peers.add([request.sender])
        if core.durable.recovered:
            response = messages.RecoveryResponse(core.me, core.durable.promised, core.durable.view)
            core.send(request.sender, response, durable=True)

    def on_response(self, _now: float, response: messages.RecoveryResponse) -> None:
        """Counts one response; binds this replica to the highest ones once they are enough.

        Each majority that this replica was in has another of its members among those that answered. It may
        have promised their highest term, and accepted their highest view, so it is bound to both. They were
        asked RECOVERY_DELAY_S into this incarnation: whoever was to promise or accept beside it in an earlier
        one, for a candidate that still counts its response, had done so by then.
        """
        core = self._core
        if core.durable.recovered or response.sender not in self._requested:
            return  # one that was not asked answers an earlier incarnation, before others promised beside it
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
