"""Peer sampling: each backend knows a bounded part of the others, and shuffles it with them.

After Cyclon (Voulgaris, Gavidia, van Steen 2005): entries have an age, the oldest one is the likely partner
of a shuffle, and what a peer says of itself is young. Nothing here does input or output.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from crowwing.tier.wire.codec import message

VIEW_SIZE = 16  # peers that one backend knows
SHUFFLE_SIZE = 6  # peers in one half of a shuffle, besides the sender
STALE_AGE = 40  # shuffles after which a peer that nobody has renewed is dropped
RANDOM_PARTNER_SHARE = 0.5  # of shuffles; the others go to the oldest peer


@message("Peer")
@dataclass(frozen=True)
class Peer:
    """One backend as others know it.

    Attributes:
        host: its address.
        role: `front` or `store`.
        zone: its failure domain.
        age: how many shuffles ago it spoke for itself.
    """

    host: str
    role: str
    zone: str
    age: int


@dataclass(frozen=True)
class Shuffle:
    """A shuffle to be made.

    Attributes:
        partner: the peer to shuffle with.
        sample: what to send it: some peers and this backend itself.
    """

    partner: Peer
    sample: tuple[Peer, ...]


class PartialView:
    """The part of the fleet that one backend knows. Owned by the `Relay`.

    Attributes:
        me: this backend.
        seeds: addresses that the settings name, for as long as no peer is known.
    """

    def __init__(self, me: Peer, seeds: tuple[str, ...], random: Random) -> None:
        """Starts without peers.

        Args:
            me: this backend.
            seeds: addresses that the settings name.
            random: draws partners and samples.
        """
        self.me = me
        self.seeds = seeds
        self._random = random
        self._peers: dict[str, Peer] = {}

    def peers(self, role: str | None = None) -> list[Peer]:
        """The known peers, of one role or of all."""
        return [peer for peer in self._peers.values() if role is None or peer.role == role]

    def add(self, peers: Iterable[Peer]) -> None:
        """Adds peers, keeping the younger entry of each; beyond `VIEW_SIZE` the oldest are dropped."""
        for peer in peers:
            if self._is_younger(peer):
                self._peers[peer.host] = peer
        while len(self._peers) > VIEW_SIZE:
            oldest = max(self._peers.values(), key=lambda peer: (peer.age, self._random.random()))
            del self._peers[oldest.host]

    def _is_younger(self, peer: Peer) -> bool:
        if peer.host == self.me.host or peer.age >= STALE_AGE:
            return False
        known = self._peers.get(peer.host)
        return known is None or peer.age < known.age

    def remove(self, host: str) -> None:
        """Drops a peer that did not respond."""
        self._peers.pop(host, None)

    def start_shuffle(self) -> Shuffle | None:
        """Makes all entries one shuffle older, and chooses the partner of the next one.

        Returns:
            What to send and to whom; None where no peer is known.
        """
        self._peers = {
            host: replace(peer, age=peer.age + 1)
            for host, peer in self._peers.items()
            if peer.age + 1 < STALE_AGE
        }
        if not self._peers:
            return None
        partner = self._choose_partner(list(self._peers.values()))
        return Shuffle(partner, self.sample(partner.host))

    def _choose_partner(self, peers: list[Peer]) -> Peer:
        if self._random.random() < RANDOM_PARTNER_SHARE:
            return self._random.choice(peers)
        return max(peers, key=lambda peer: peer.age)

    def sample(self, receiver: str) -> tuple[Peer, ...]:
        """Some random peers and this backend itself, to be sent to another one.

        Args:
            receiver: its address; it is not among them.
        """
        others = [peer for peer in self._peers.values() if peer.host != receiver]
        chosen = self._random.sample(others, min(SHUFFLE_SIZE, len(others)))
        return (self.me, *chosen)
