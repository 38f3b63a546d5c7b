"""Peer sampling: each backend knows a bounded subset of the others and exchanges parts of it with them.

Based on Cyclon (Voulgaris, Gavidia, van Steen 2005): entries have an age, the oldest entry is the preferred
partner of a shuffle, and a backend sends the entry of itself with age 0. This module does no I/O.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from crowwing.tier.wire.codec import message

VIEW_SIZE = 16  # maximum number of peers that one backend knows
SHUFFLE_SIZE = 6  # peers sent in each direction of a shuffle, besides the sender itself
STALE_AGE = 40  # in shuffles; an entry that was not renewed for this long is removed
RANDOM_PARTNER_SHARE = 0.5  # share of shuffles with a random peer; the others use the oldest entry


@message("Peer")
@dataclass(frozen=True)
class Peer:
    """An entry of a view: one backend as others know it.

    Attributes:
        host: the address of the backend.
        role: `front` or `store`.
        zone: the failure domain of the backend.
        age: the number of shuffles since the backend sent this entry itself.
    """

    host: str
    role: str
    zone: str
    age: int


@dataclass(frozen=True)
class Shuffle:
    """A shuffle to perform.

    Attributes:
        partner: the peer to shuffle with.
        sample: the entries to send: some peers and this backend itself.
    """

    partner: Peer
    sample: tuple[Peer, ...]


class PartialView:
    """The bounded set of backends that one backend knows. Owned by `Relay`.

    Attributes:
        me: this backend.
        seeds: the addresses of backends in the settings; shuffles use them while no peer is known.
    """

    def __init__(self, me: Peer, seeds: tuple[str, ...], random: Random) -> None:
        """Starts without peers.

        Args:
            me: this backend.
            seeds: the addresses of backends in the settings.
            random: the source of randomness for partners and samples.
        """
        self.me = me
        self.seeds = seeds
        self._random = random
        self._peers: dict[str, Peer] = {}

    def peers(self, role: str | None = None) -> list[Peer]:
        """Returns the known peers, of one role or of all roles."""
        return [peer for peer in self._peers.values() if role is None or peer.role == role]

    def add(self, peers: Iterable[Peer]) -> None:
        """Adds peers, keeping the younger entry of each host; evicts the oldest ones beyond `VIEW_SIZE`."""
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
        """Removes a peer; called for one that did not respond."""
        self._peers.pop(host, None)

    def start_shuffle(self) -> Shuffle | None:
        """Increments the age of all entries, removes stale ones, and chooses a partner.

        Returns:
            The shuffle to perform; None if no peer is known.
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
        """Returns some random peers and this backend itself, to send to another backend.

        Args:
            receiver: the address of the other backend, which is excluded from the peers.
        """
        others = [peer for peer in self._peers.values() if peer.host != receiver]
        chosen = self._random.sample(others, min(SHUFFLE_SIZE, len(others)))
        return (self.me, *chosen)
