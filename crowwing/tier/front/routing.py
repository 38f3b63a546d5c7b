"""Routing: which sidecar gets the next request. Pure; times are seconds of the steady clock.

The cost of a sidecar is its load, the part of the prompt that it would have to read, its failures, bytes
between zones and a new connection (docs/serving-tier.md, "Choice of a sidecar").
"""

import hashlib
from collections import OrderedDict, deque
from collections.abc import Iterable
from random import Random

from crowwing.tier.front.load_reports import AverageInflight
from crowwing.tier.front.prefix_cache import PromptBlock
from crowwing.tier.front.sidecar_state import SidecarState
from crowwing.tier.front.sidecar_table import MAX_FULL_SCAN, SidecarTable

LOAD_COST_MS = 120.0  # of a sidecar whose slots are all taken
OVERFULL_COST_MS = 400.0  # more for each further slots' worth
OTHER_ZONE_COST_MS = 4.0  # bytes between zones have a price
CONNECTING_COST_MS = 30.0  # a new connection takes round trips and processor time, and has a price
PREFILL_TOKENS_PER_MS = 128.0
MIN_SHARED_BLOCK_TOKENS = 1000  # from which fronts agree on a home for a shared block
SAMPLE_SIZE = 12  # sidecars at random that are scored where there are more than MAX_FULL_SCAN
SAMPLED_HOLDERS = 3  # more of those that have the shared block cached
SAMPLED_RECENT = 16  # more of those that answered lately, as far as a connection to them is idle
MAX_HOMES = 4000  # shared blocks whose home and holders are remembered
HOME_DISCOUNT = 0.6  # of a prompt's reading that its home is credited with before it is known to be cached


def home_of(block_id: str, candidates: Iterable[SidecarState]) -> str:
    """The id of the sidecar that all fronts take for the home of a shared block, by rendezvous hashing."""

    def weight(state: SidecarState) -> bytes:
        return hashlib.blake2b(f"{block_id}|{state.entry.id}".encode(), digest_size=8).digest()

    return max(candidates, key=weight).entry.id


class Router:
    """Chooses sidecars. Owned by `ServicePool`; called by the dispatcher for each attempt.

    Attributes:
        zone: This front's own.
    """

    def __init__(self, sidecars: SidecarTable, random: Random | None = None) -> None:
        """Routes among the sidecars of a table; `random` draws samples of many."""
        self.zone = ""
        self._sidecars = sidecars
        self._random = random or Random()
        self._homes: OrderedDict[str, SidecarState] = OrderedDict()  # by shared block
        self._homes_version = sidecars.version  # of the list that they were chosen from
        self._holders: OrderedDict[str, deque[SidecarState]] = OrderedDict()  # by shared block
        self._recent: dict[str, deque[SidecarState]] = {}  # by service, which answered lately

    def choose(
        self, service: str, blocks: tuple[PromptBlock, ...], now: float, tried: frozenset[str] = frozenset()
    ) -> SidecarState | None:
        """The sidecar that will probably have read the prompt first.

        Args:
            service: Whose sidecars.
            blocks: The prompt.
            now: The time.
            tried: Ids of sidecars that are left out.

        Returns:
            None where no sidecar is left. One in doubt is better than none.
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
        """A sidecar has read these blocks."""
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
        """Some at random, those with idle connections, and the home and some holders of a shared block."""
        is_listed = self._sidecars.is_listed
        chosen = self._random.sample(states, SAMPLE_SIZE)
        recent = self._recent.get(states[0].entry.service, ())
        chosen += [state for state in recent if state.connections.idle and is_listed(state)]
        if shared is not None:
            chosen.append(self._home(shared, states))
            chosen += [state for state in self._holders.get(shared, ()) if is_listed(state)]
        return list({state.entry.id: state for state in chosen}.values())

    def _home(self, block_id: str, states: list[SidecarState]) -> SidecarState:
        """The home of a shared block among many sidecars, remembered until the list changes."""
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
    """The best group of sidecars that is not empty: reachable, usable, or listed as ready."""
    candidates = [state for state in scored if state.is_reachable(now) and state.entry.id not in tried]
    if not candidates and scored is not states:
        candidates = [state for state in states if state.is_reachable(now) and state.entry.id not in tried]
    if not candidates:
        candidates = [state for state in states if state.is_usable(now) and state.entry.id not in tried]
    if not candidates:
        candidates = [
            state
            for state in states
            if state.entry.ready and not state.leaving and state.entry.id not in tried
        ]
    return candidates
