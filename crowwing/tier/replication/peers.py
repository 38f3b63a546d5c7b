"""The other replicas that one knows of, and when it heard of them."""

from collections.abc import Iterable

from crowwing.tier.replication.terms import View

NEVER = -1e9  # before every moment of the monotonic clock, in seconds


class Peers:
    """Kept from one role to the next; `heard_at` only while a primary changes its own view.

    Attributes:
        heard_at: when this replica, as primary, last heard of each other one.
        joined_at: when each replica that wants to become a member last asked for it.
        requested_at: when this replica last asked the others to recover or to be made a member.
    """

    def __init__(self, me: str, seeds: Iterable[str]) -> None:
        """The peers of `me`, which are the seeds at first."""
        self._me = me
        self._names = set(seeds) - {me}
        self.heard_at: dict[str, float] = {}
        self.join_requested_at: dict[str, float] = {}
        self.requested_at = NEVER
        self._next_offset = 0

    def add(self, hosts: Iterable[str]) -> None:
        """Adds replicas that this one has heard of."""
        self._names.update(hosts)
        self._names.discard(self._me)

    def clear_heard_at(self) -> None:
        """This replica leads no more: who was silent as it led says nothing of who is silent later."""
        self.heard_at = {}

    def known(self, view: View | None) -> set[str]:
        """All replicas that this one knows of, those of the view among them, without itself."""
        known = self._names | set(self.join_requested_at)
        if view is not None:
            known |= set(view.members) | set(view.witnesses)
        return known - {self._me}

    def next_round_robin(self, view: View | None, count: int) -> list[str]:
        """Some of the known replicas, in turn: each call goes on where the last one ended."""
        known = sorted(self.known(view))
        start = self._next_offset % len(known) if known else 0
        self._next_offset = start + count
        return (known[start:] + known[:start])[:count]

    def join_requested_within(self, now: float, span_s: float) -> set[str]:
        """Replicas that asked to become members within the last `span_s` seconds."""
        return {host for host, at in self.join_requested_at.items() if now - at < span_s}

    def begin_view(self, now: float, view: View) -> None:
        """Counts the silence of the view's replicas anew, but for witnesses that hold no data."""
        before = self.heard_at
        self.heard_at = {
            witness: now if witness in view.members else before.get(witness, now)
            for witness in view.witnesses
        }
        self.join_requested_at = {
            host: at for host, at in self.join_requested_at.items() if host not in view.witnesses
        }
