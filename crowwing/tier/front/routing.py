"""Routing: chooses the sidecar with the lowest cost for each attempt.

The cost is estimated in milliseconds from the sidecar's load, the prompt tokens missing in its prefix cache,
its recent failures, traffic between zones and the need for a new connection (docs/serving-tier.md, "Choice of
a sidecar").

No I/O. Times are seconds of the monotonic clock.
"""

import hashlib
from collections import OrderedDict, deque
from collections.abc import Iterable
from random import Random

from crowwing.tier.front.load_reports import AverageInflight
from crowwing.tier.front.prefix_cache import PromptBlock
from crowwing.tier.front.sidecar_state import SidecarState
from crowwing.tier.front.sidecar_table import MAX_FULL_SCAN, SidecarTable

LOAD_COST_MS = 120.0  # of a sidecar whose slots are all in use; proportional below that
OVERFULL_COST_MS = 400.0  # in addition, for each multiple of its slots beyond the first
OTHER_ZONE_COST_MS = 4.0  # traffic between zones is billed
CONNECTING_COST_MS = 30.0  # a new connection takes round trips and CPU time, and is billed
PREFILL_TOKENS_PER_MS = 128.0
MIN_SHARED_BLOCK_TOKENS = 1000  # shared prompt blocks of at least this size get a home sidecar
SAMPLE_SIZE = 12  # random candidates if a service has more than MAX_FULL_SCAN sidecars
SAMPLED_HOLDERS = 3  # additional candidates that have the shared block cached
SAMPLED_RECENT = 16  # additional candidates that responded recently and have an idle connection
MAX_HOMES = 4000  # shared blocks whose home and caching sidecars are remembered
HOME_DISCOUNT = 0.6  # share of the prefill cost waived for a block's home before it is known to cache it


def home_of(block_id: str, candidates: Iterable[SidecarState]) -> str:
    """Returns the id of a shared block's home: the sidecar that all fronts agree on by rendezvous hashing."""

    def weight(state: SidecarState) -> bytes:
        return hashlib.blake2b(f"{block_id}|{state.entry.id}".encode(), digest_size=8).digest()

    return max(candidates, key=weight).entry.id


class Router:
    """Chooses sidecars. Owned by `ServicePool`; called by the dispatcher for each attempt.

    Attributes:
        zone: The zone of this front.
    """

    def __init__(self, sidecars: SidecarTable, random: Random | None = None) -> None:
        """Routes to the sidecars of a table; `random` draws the random candidates."""
        self.zone = ""
        self._sidecars = sidecars
        self._random = random or Random()
        self._homes: OrderedDict[str, SidecarState] = OrderedDict()  # by shared block
        self._homes_version = sidecars.version  # version of the endpoint list that the homes were chosen from
        self._holders: OrderedDict[str, deque[SidecarState]] = OrderedDict()  # by shared block
        self._recent: dict[str, deque[SidecarState]] = {}  # by service: responded recently

    def choose(
        self, service: str, blocks: tuple[PromptBlock, ...], now: float, tried: frozenset[str] = frozenset()
    ) -> SidecarState | None:
        """Returns the sidecar that is expected to process the prompt first.

        Args:
            service: The service to route to.
            blocks: The prompt.
            now: The current time.
            tried: Ids of sidecars to exclude.

        Returns:
            The sidecar, or None if none is left. If no sidecar is usable, one that is listed as ready is
            returned: a doubtful sidecar is better than none.
        """
        shared = next((block.id for block in blocks[:-1] if block.tokens >= MIN_SHARED_BLOCK_TOKENS), None)
        states = self._sidecars.of_service(service)
        scored = states if len(states) <= MAX_FULL_SCAN else self._sample(states, shared)
        candidates = _first_candidates(states, scored, now, tried)
        if not candidates:
            return None
        home = None
        if shared is not None:
            home = home_of(shared, candidates) if scored is states else self._home(shared, states).entry.id
        average = self._sidecars.average_inflight(service, now)
        return min(candidates, key=lambda state: self._cost_ms(state, blocks, home, average, now))

    def record_cached(self, state: SidecarState, blocks: tuple[PromptBlock, ...]) -> None:
        """Records that a sidecar has processed these blocks, and so caches them."""
        state.prefix_cache.add(blocks)
        recent = self._recent.setdefault(state.entry.service, deque(maxlen=SAMPLED_RECENT))
        if state not in recent:
            recent.append(state)
        for block in blocks[:-1]:
            if block.tokens >= MIN_SHARED_BLOCK_TOKENS:
                holders = self._holders.setdefault(block.id, deque(maxlen=SAMPLED_HOLDERS))
                if state not in holders:
                    holders.append(state)
                self._holders.move_to_end(block.id)
        while len(self._holders) > MAX_HOMES:
            self._holders.popitem(last=False)

    def _sample(self, states: list[SidecarState], shared: str | None) -> list[SidecarState]:
        """Random sidecars, recent ones with idle connections, and the home and holders of a shared block."""
        is_listed = self._sidecars.is_listed
        chosen = self._random.sample(states, SAMPLE_SIZE)
        recent = self._recent.get(states[0].entry.service, ())
        chosen += [state for state in recent if state.connections.idle and is_listed(state)]
        if shared is not None:
            chosen.append(self._home(shared, states))
            chosen += [state for state in self._holders.get(shared, ()) if is_listed(state)]
        return list({state.entry.id: state for state in chosen}.values())

    def _home(self, block_id: str, states: list[SidecarState]) -> SidecarState:
        """The home of a shared block among many sidecars, remembered until the endpoint list changes."""
        if self._homes_version != self._sidecars.version:
            self._homes.clear()
            self._homes_version = self._sidecars.version
        home = self._homes.get(block_id)
        if home is None:
            ready = [state for state in states if state.entry.ready] or states
            home_id = home_of(block_id, ready)
            home = next(state for state in ready if state.entry.id == home_id)
            self._homes[block_id] = home
            while len(self._homes) > MAX_HOMES:
                self._homes.popitem(last=False)
        return home

    def _cost_ms(
        self,
        state: SidecarState,
        blocks: tuple[PromptBlock, ...],
        home: str | None,
        average: AverageInflight,
        now: float,
    ) -> float:
        fill = (state.estimate(now, average) + 1) / max(1, state.entry.slots)
        cost = LOAD_COST_MS * fill + OVERFULL_COST_MS * max(0.0, fill - 1)
        cost += state.failure_rate.cost_ms(now)
        uncached = state.prefix_cache.uncached_tokens(blocks)
        if home == state.entry.id and uncached:
            uncached = int(uncached * (1 - HOME_DISCOUNT))
        if state.entry.zone != self.zone:
            cost += OTHER_ZONE_COST_MS
        if not state.connections.idle:
            cost += CONNECTING_COST_MS
        return cost + uncached / PREFILL_TOKENS_PER_MS


def _first_candidates(
    states: list[SidecarState], scored: list[SidecarState], now: float, tried: frozenset[str]
) -> list[SidecarState]:
    """The first non-empty group of: reachable, usable, and listed as ready sidecars."""
    candidates = [state for state in scored if state.is_reachable(now) and state.entry.id not in tried]
    if not candidates and scored is not states:
        candidates = [state for state in states if state.is_reachable(now) and state.entry.id not in tried]
    if not candidates:
        candidates = [state for state in states if state.is_usable(now) and state.entry.id not in tried]
    if not candidates:
        candidates = [
            state
            for state in states
            if state.entry.ready and not state.draining and state.entry.id not in tried
        ]
    return candidates
