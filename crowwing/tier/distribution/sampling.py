"""Peer sampling: each backend knows a bounded part of the others and shuffles it with them. Pure."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from crowwing.tier.wire.codec import message

VIEW_SIZE, SHUFFLE_SIZE = 16, 6
STALE_AGE = 40  # shuffles after which a peer that nobody has renewed is dropped


@message("Peer")
@dataclass(frozen=True)
class Peer:
    """One backend as others know it. `age` counts the shuffles since it spoke for itself."""

    host: str
    role: str
    zone: str
    age: int


class PartialView:
    """The part of the fleet that one backend knows."""

    def __init__(self, me: Peer, random: Random) -> None:
        self.me, self._random = me, random
        self._peers: dict[str, Peer] = {}

    def peers(self, role: str | None = None) -> list[Peer]:
        """The peers known, of one role or of all."""
        return [peer for peer in self._peers.values() if role is None or peer.role == role]

    def add(self, peers: Iterable[Peer]) -> None:
        """Takes peers in, the younger copy of each; beyond the bound the oldest go."""
        for peer in peers:
            known = self._peers.get(peer.host)
            if peer.host != self.me.host and peer.age < STALE_AGE and (known is None or peer.age < known.age):
                self._peers[peer.host] = peer
        while len(self._peers) > VIEW_SIZE:
            oldest = max(self._peers.values(), key=lambda peer: (peer.age, self._random.random()))
            del self._peers[oldest.host]

    def remove(self, host: str) -> None:
        """Forgets a peer that did not answer."""
        self._peers.pop(host, None)

    def start_shuffle(self) -> tuple[Peer | None, tuple[Peer, ...]]:
        """Ages all, and gives the one to shuffle with and what to send it."""
        self._peers = {
            host: replace(peer, age=peer.age + 1)
            for host, peer in self._peers.items()
            if peer.age + 1 < STALE_AGE
        }
        if not self._peers:
            return None, ()
        chosen = list(self._peers.values())
        partner = (
            self._random.choice(chosen) if self._random.random() < 0.5 else max(chosen, key=lambda p: p.age)
        )
        return partner, self.sample(partner.host)

    def sample(self, without: str) -> tuple[Peer, ...]:
        """Some peers and this backend itself, for another one."""
        others = [peer for peer in self._peers.values() if peer.host != without]
        some = self._random.sample(others, min(SHUFFLE_SIZE, len(others)))
        return (self.me, *some)
