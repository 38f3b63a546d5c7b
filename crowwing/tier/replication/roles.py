"""The interface of roles, and the transitions between them."""

from collections.abc import Callable, Mapping
from typing import Any, ClassVar, Protocol

from crowwing.tier.replication import messages
from crowwing.tier.replication.core import ReplicaCore, Role
from crowwing.tier.replication.terms import NO_TERM, Term, View

Handler = Callable[[Any, float, Any], None]  # each takes one role class and one message class


class RoleChanges(Protocol):
    """Transitions between roles; implemented by Replica (replica.py)."""

    def start_campaign(
        self,
        now: float,
        released: Term = NO_TERM,
        above: Term = NO_TERM,
        joining: frozenset[str] = frozenset(),
    ) -> None:
        """Becomes a candidate."""

    def activate(self, now: float, view: View, requested_at: float) -> None:
        """Becomes the primary of a view."""

    def step_down(self, now: float, reason: str) -> None:
        """Becomes a follower and extends the election timer."""

    def resign(self, now: float, reason: str) -> None:
        """Transfers leadership and steps down."""

    def step_down_from_leading(self, now: float, reason: str) -> None:
        """Steps down unless this replica is a follower already."""


class RoleState:
    """The behaviour and the volatile state of a replica in one role; discarded when the role ends."""

    role: ClassVar[Role]
    handlers: ClassVar[Mapping[type, Handler]]  # of messages that only some roles handle

    def __init__(self, core: ReplicaCore, changes: RoleChanges) -> None:
        """A role on top of the state that all roles share."""
        self._core = core
        self._changes = changes

    def tick(self, now: float) -> None:
        """Runs the timers; called every few hundredths of a second."""
        raise NotImplementedError

    def ignore(self, _now: float, _message: messages.Message) -> None:
        """Ignores a message that is meant for another role."""

    def _yield_to_higher_term(self, now: float, nack: messages.Nack) -> None:
        """Steps down; the next campaign uses a term above the one that the sender has promised."""
        core = self._core
        self._changes.step_down(now, f"{nack.sender} has promised term {nack.promised}")
        core.highest_seen_term_number = max(core.highest_seen_term_number, nack.promised[0])

    def _is_preempted(self, nack: messages.Nack) -> bool:
        """Whether the sender has promised another term that is not lower than this replica's."""
        promised = self._core.durable.promised
        return nack.promised[0] >= promised[0] and nack.promised != promised

    def on_sync_response(self, _now: float, response: messages.SyncResponse) -> None:
        """Sends digests to a replica whose log did not match; the request may date from an earlier role."""
        if response.term == self._core.durable.promised and not response.matched:
            self._core.send_digests(response.sender)


def role_handlers(handlers: Mapping[type, Handler]) -> dict[type, Handler]:
    """Returns the handlers of one role, with messages for other roles ignored."""
    kinds = (
        messages.Accepted,
        messages.AppendResponse,
        messages.EntriesRequest,
        messages.HeartbeatResponse,
        messages.LeadershipTransfer,
        messages.Nack,
        messages.PreVoteResponse,
        messages.Promise,
        messages.RangesRequest,
        messages.SyncInProgress,
        messages.SyncResponse,
    )
    ignored: dict[type, Handler] = dict.fromkeys(kinds, RoleState.ignore)
    return {**ignored, messages.SyncResponse: RoleState.on_sync_response, **handlers}
