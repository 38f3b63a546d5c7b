"""Notifies listeners when a replica becomes the primary or stops being it."""

from collections.abc import Callable

from crowwing.tier.replication.core import Role

RoleListener = Callable[[bool], None]  # argument: whether the replica is the primary


class RoleNotifier:
    """Tracks the role that listeners were notified of; owned by `ReplicaNode`.

    Listeners are not notified of the candidate role. A primary that changes its own view is briefly a
    candidate and then the primary again with the same log, so its listeners need not reset.
    """

    def __init__(self) -> None:
        """Starts without listeners, in the follower role."""
        self.listeners: list[RoleListener] = []
        self._notified_role = Role.FOLLOWER

    def is_changing_own_view(self, role: Role) -> bool:
        """Whether the replica is a candidate that was the primary before."""
        return role is Role.CANDIDATE and self._notified_role is Role.PRIMARY

    def notify(self, role: Role) -> None:
        """Calls the listeners if the replica became the primary or stopped being it."""
        if role is Role.CANDIDATE:
            return
        is_primary = role is Role.PRIMARY
        if is_primary != (self._notified_role is Role.PRIMARY):
            for listener in self.listeners:
                listener(is_primary)
        self._notified_role = role
