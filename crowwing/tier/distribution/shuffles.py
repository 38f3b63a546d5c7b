"""Anti-entropy: shuffles with random peers, which also carry documents that the relay tree has lost."""

import asyncio

from crowwing.tier.distribution.documents import Documents
from crowwing.tier.distribution.environment import RelayEnvironment
from crowwing.tier.distribution.messages import DocumentPush, ShuffleRequest, ShuffleResponse
from crowwing.tier.distribution.sampling import PartialView, Peer
from crowwing.tier.wire.errors import CallError

SHUFFLE_INTERVAL_S = 0.5  # on average
MIN_INTERVAL_SHARE = 0.8  # of SHUFFLE_INTERVAL_S, the shortest pause
INTERVAL_JITTER_SHARE = 0.4  # of SHUFFLE_INTERVAL_S, added by chance
SHUFFLE_TIMEOUT_S = 0.5


class Shuffler:
    """Exchanges peers and missing documents with one backend after another. Owned by the `Relay`."""

    def __init__(self, view: PartialView, documents: Documents, environment: RelayEnvironment) -> None:
        """Names the parts that it works on.

        Args:
            view: the backends to shuffle with.
            documents: compared with those of the partner.
            environment: how other backends are reached, and random numbers.
        """
        self._view = view
        self._documents = documents
        self._connections = environment.connections
        self._random = environment.random

    async def run(self) -> None:
        """Shuffles each interval; runs for ever."""
        while True:
            pause_share = MIN_INTERVAL_SHARE + INTERVAL_JITTER_SHARE * self._random.random()
            await asyncio.sleep(SHUFFLE_INTERVAL_S * pause_share)
            await self._shuffle_once()

    async def _shuffle_once(self) -> None:
        """Shuffles with a peer; where none is known, with a seed."""
        shuffle = self._view.start_shuffle()
        if shuffle is not None:
            await self._exchange(shuffle.partner.host, shuffle.sample)
        elif self._view.seeds:
            seed = self._random.choice(self._view.seeds)
            if seed != self._view.me.host:
                await self._exchange(seed, (self._view.me,))

    async def _exchange(self, host: str, sample: tuple[Peer, ...]) -> None:
        try:
            connection = await self._connections.get(host)
            request = ShuffleRequest(sample, self._documents.versions())
            response: ShuffleResponse = await connection.call(request, SHUFFLE_TIMEOUT_S)
        except CallError:
            self._view.remove(host)
            return
        self._view.add(response.peers)
        for document in response.documents:
            self._documents.offer(document)
        for document in self._documents.newer_than(response.versions):
            connection.notify(DocumentPush(document))

    def respond(self, request: ShuffleRequest, remote: str) -> ShuffleResponse:
        """The other half of a shuffle that a peer has started.

        Args:
            request: what the peer sent.
            remote: the address of the peer.
        """
        self._view.add(request.peers)
        return ShuffleResponse(
            self._view.sample(remote),
            self._documents.newer_than(request.versions),
            self._documents.versions(),
        )
