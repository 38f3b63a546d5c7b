"""The other replicas that a replica knows of, and when it last received messages from them."""

from collections.abc import Iterable

from crowwing.tier.replication.terms import View

NEVER = -1e9  # earlier than any time of the monotonic clock, in seconds


class Peers:
    """The table of peers; survives role transitions, except `heard_at`, which `clear_heard_at` resets.

    Attributes:
        heard_at: when this replica, as primary, last received a response from each other replica.
        join_requested_at: when each replica last asked to become a member.
        requested_at: when this replica last sent recovery requests or join requests.
    """

    def __init__(self, me: str, seeds: Iterable[str]) -> None:
        """The peers of `me`, initially the seeds."""
        self._me = me
        self._names = set(seeds) - {me}
        self.heard_at: dict[str, float] = {}
        self.join_requested_at: dict[str, float] = {}
        self.requested_at = NEVER
        self._next_offset = 0

    def add(self, hosts: Iterable[str]) -> None:
        """Adds replicas by name."""
        self._names.update(hosts)
        self._names.discard(self._me)

    def clear_heard_at(self) -> None:
        """Clears `heard_at` as this replica stops leading: it does not tell who responds in a later term."""
        self.heard_at = {}

    def known(self, view: View | None) -> set[str]:
        """All known replicas, including those of the view, without this one."""
        known = self._names | set(self.join_requested_at)
        if view is not None:
            known |= set(view.members) | set(view.witnesses)
        return known - {self._me}

    def next_round_robin(self, view: View | None, count: int) -> list[str]:
        """Returns `count` of the known replicas, round robin over successive calls."""
        known = sorted(self.known(view))
        start = self._next_offset % len(known) if known else 0
        self._next_offset = start + count
        return (known[start:] + known[:start])[:count]

    def join_requested_within(self, now: float, span_s: float) -> set[str]:
        """The replicas that asked to become members within the last `span_s` seconds."""
        return {host for host, at in self.join_requested_at.items() if now - at < span_s}

    def begin_view(self, now: float, view: View) -> None:
        """Restarts the response time-outs of the members, but not of witnesses without data."""
        before = self.heard_at
        self.heard_at = {
            witness: now if witness in view.members else before.get(witness, now)
            for witness in view.witnesses
        }
        self.join_requested_at = {
            host: at for host, at in self.join_requested_at.items() if host not in view.witnesses
        }
