"""Notifies listeners when a replica becomes the primary or ceases to be it."""

from collections.abc import Callable

from crowwing.tier.replication.core import Role

RoleListener = Callable[[bool], None]  # gets whether the replica is the primary


class RoleNotifier:
    """The role that listeners know of; owned by `ReplicaNode`.

    A candidate's role is not notified. A primary that changes its own view is a candidate for a moment and
    then the primary again, with the same log; its listeners need not start anew.
    """

    def __init__(self) -> None:
        """No listeners; they start as those of a follower."""
        self.listeners: list[RoleListener] = []
        self._notified_role = Role.FOLLOWER

    def is_changing_own_view(self, role: Role) -> bool:
        """Whether the replica is a candidate now that was the primary before."""
        return role is Role.CANDIDATE and self._notified_role is Role.PRIMARY

    def notify(self, role: Role) -> None:
        """Calls the listeners if the replica became the primary or ceased to be it."""
        if role is Role.CANDIDATE:
            return
        is_primary = role is Role.PRIMARY
        if is_primary != (self._notified_role is Role.PRIMARY):
            for listener in self.listeners:
                listener(is_primary)
        self._notified_role = role
