"""Anti-entropy: shuffles with known peers, which also deliver documents that the relay tree has lost."""

import asyncio

from crowwing.tier.distribution.documents import Documents
from crowwing.tier.distribution.environment import RelayEnvironment
from crowwing.tier.distribution.messages import DocumentPush, ShuffleRequest, ShuffleResponse
from crowwing.tier.distribution.sampling import PartialView, Peer
from crowwing.tier.wire.errors import CallError

SHUFFLE_INTERVAL_S = 0.5  # mean pause between shuffles
MIN_INTERVAL_SHARE = 0.8  # shortest pause, as a share of SHUFFLE_INTERVAL_S
INTERVAL_JITTER_SHARE = 0.4  # maximum random addition, as a share of SHUFFLE_INTERVAL_S
SHUFFLE_TIMEOUT_S = 0.5


class Shuffler:
    """Exchanges peers and missing documents with one backend after another. Owned by `Relay`."""

    def __init__(self, view: PartialView, documents: Documents, environment: RelayEnvironment) -> None:
        """Creates the shuffler of a backend.

        Args:
            view: the backends to shuffle with.
            documents: the documents of this backend, compared with those of the partner.
            environment: provides connections to other backends and randomness.
        """
        self._view = view
        self._documents = documents
        self._connections = environment.connections
        self._random = environment.random

    async def run(self) -> None:
        """Performs a shuffle about every `SHUFFLE_INTERVAL_S`; runs forever."""
        while True:
            pause_share = MIN_INTERVAL_SHARE + INTERVAL_JITTER_SHARE * self._random.random()
            await asyncio.sleep(SHUFFLE_INTERVAL_S * pause_share)
            await self._shuffle_once()

    async def _shuffle_once(self) -> None:
        """Shuffles with a peer, or with a random seed if no peer is known."""
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
        """Adds the peers of a shuffle that another backend has started, and returns the response.

        Args:
            request: the request of the other backend.
            remote: the address of the other backend.
        """
        self._view.add(request.peers)
        return ShuffleResponse(
            self._view.sample(remote),
            self._documents.newer_than(request.versions),
            self._documents.versions(),
        )
