"""The sidecars that this front knows, what it believes of each, and which one gets the next request. Pure."""

import hashlib
import heapq
import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from crowwing.tier.front.admission import FreeSlots, Load
from crowwing.tier.front.sidecar_connections import ConnectionState
from crowwing.tier.front.track_record import TrackRecord
from crowwing.tier.platform_list import Sidecar

MAX_CACHED_BLOCKS = 4000  # remembered prompt parts a sidecar
LOAD_FRESH_S, LOAD_DECAY_S = 0.3, 1.0  # how long a report of load counts in full, and then fades
LIVE_FILL, BATCH_FILL = 0.95, 0.65  # of a sidecar's slots, up to which requests and items of lots go there
RESPONSE_TIMEOUT_S = 0.35  # without a byte while a request waits, after which a sidecar gets no more
MIN_REPORT_INTERVAL_S = 0.4  # without news of its load, after which a sidecar is asked for its report
MAX_REPORTS_PER_S = 20.0  # that a sidecar is asked for by all fronts together at most
MAX_REPORT_REQUESTS = 4  # sidecars that a front asks in one step at most
REPLACED_PAUSE_S = 1.0  # without requests to a sidecar in whose place another one answers
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.5, 4.0
LOAD_COST_MS = 120.0  # of a sidecar whose slots are all taken
OTHER_ZONE_COST_MS = 4.0  # bytes between zones have a price
CONNECTING_COST_MS = 30.0  # a new connection takes round trips and processor time, and has a price
OVERFULL_COST_MS = 400.0  # more for each further slots' worth
READ_TOKENS_PER_MS = 128.0
MIN_SHARED_BLOCK_TOKENS = 1000  # tokens from which fronts agree on a home for a shared part
MAX_FULL_SCAN = 16  # sidecars of a service that are all weighed for each request; of more, a sample is
SAMPLED, SAMPLED_HOLDERS = 12, 3  # at random, and of those that hold the large shared part
SAMPLED_RECENT = 16  # of those that answered lately, as far as a connection to them is kept
REPORT_WEIGHT, REPORT_FRESH_S = 0.1, 1.0  # of the newest word on load in the mean, and how long that counts
MAX_REPORTED_FILL = 3.0  # in slots, the most that one word on load counts for
SAFE_START = 4.0  # slots that a front takes for its part before the fronts have been counted
MAX_HOMES = 4000  # shared parts whose home is remembered
LOAD_SHAPE = 2.0  # of the gamma distribution of loads among sidecars: they differ by 0.7 of the mean
FREE_SLOTS_FRESH_S = 0.02  # for how long places are counted on instead of counted, where all are not weighed
HOME_SHARE = 0.6  # of a part's reading that its home is credited with before it is known to be there


@dataclass(frozen=True)
class PromptBlock:
    """One part of a prompt."""

    id: str
    tokens: int


def parse_prompt_prefix(header: str) -> tuple[PromptBlock, ...]:
    """The parts that `Prompt-Prefix` names; what can't be read is left out."""
    parts: list[PromptBlock] = []
    for piece in header.split(","):
        name, _, tokens = piece.strip().partition(":")
        if name and tokens.isdigit():
            parts.append(PromptBlock(name, int(tokens)))
    return tuple(parts)


@dataclass(frozen=True)
class AverageInflight:
    """Requests at a sidecar of a service on average: this front's own, and those of all other fronts."""

    own: float
    others: float


@dataclass
class ReportedLoad:
    """What the sidecars of a service say of their load, as an average that forgets. Times are seconds."""

    fill: float = 0.0  # part of the slots, more than 1 where requests wait
    at: float = -1e9

    def learn(self, now: float, fill: float) -> None:
        """Takes in what one sidecar says; one that says too much counts as crowded, not more."""
        bounded = min(MAX_REPORTED_FILL, max(0.0, fill))
        self.fill = (
            bounded if now - self.at > REPORT_FRESH_S else self.fill + REPORT_WEIGHT * (bounded - self.fill)
        )
        self.at = now


@dataclass(eq=False)
class SidecarState:
    """What this front knows of one sidecar."""

    entry: Sidecar
    inflight: int = 0
    max_inflight_seen: int = 0
    running: float = 0.0  # as last told by it
    waiting: float = 0.0
    reported_at: float = -1e9
    last_byte_at: float = -1e9  # when anything came from it
    report_requested_at: float = -1e9
    sent_since: int = 0  # by this front since then
    failures: int = 0
    avoid_until: float = 0.0
    unanswered: dict[int, float] = field(
        default_factory=dict
    )  # tries without a head, and when they were sent
    unresponsive: bool = False  # nothing comes from it although something should
    leaving: bool = False  # its answers say so, before the list does
    cached: OrderedDict[str, None] = field(default_factory=OrderedDict)
    record: TrackRecord = field(default_factory=TrackRecord)
    connections: ConnectionState = field(default_factory=ConnectionState)

    def estimate(self, now: float, average: "AverageInflight") -> float:
        """Requests that it probably has now: as told, or later as all sidecars of the service have."""
        age = now - self.reported_at
        weight = min(1.0, max(0.0, 1 - (age - LOAD_FRESH_S) / LOAD_DECAY_S))
        told = self.running + self.waiting + self.sent_since
        guessed = self.inflight + average.others * self._relative_load(average.own)
        return max(float(self.inflight), weight * told + (1 - weight) * guessed)

    def _relative_load(self, mean: float) -> float:
        """By how much its load probably differs from the mean, as this front's own count there tells.

        The mean of a gamma distribution of loads, given one Poisson count where `mean` was to be expected; a
        count of 1 where nearly all are 0 says little, a count of 20 where the mean is 10 says much.
        """
        return (self.inflight + LOAD_SHAPE) / (mean + LOAD_SHAPE)

    def record_load(self, now: float, running: float, waiting: float, slots: float) -> None:
        """Takes in what it says of itself."""
        self.running, self.waiting, self.reported_at, self.sent_since = running, waiting, now, 0

    def record_request_end(self) -> None:
        """A request of this front has left it, so that it runs one less than it last told."""
        if self.sent_since > 0:
            self.sent_since -= 1
        else:
            self.running = max(0.0, self.running - 1)

    def is_usable(self, now: float) -> bool:
        """Whether new requests may go there."""
        return self.entry.ready and not self.leaving and not self.unresponsive and now >= self.avoid_until

    def is_reachable(self, now: float) -> bool:
        """Whether new requests may go there and would find a connection."""
        return self.is_usable(now) and self.connections.available(now)

    def detect_unresponsive(self, now: float) -> bool:
        """Whether it has been silent for long while a request waits there; noted until it speaks again."""
        if not self.unresponsive and self.unanswered:
            quiet_since = max(min(self.unanswered.values()), self.last_byte_at)
            self.unresponsive = now - quiet_since >= RESPONSE_TIMEOUT_S
        return self.unresponsive

    def failed(self, now: float) -> None:
        """It could not be reached, or fell silent: stay away for a while that grows."""
        self.failures += 1
        self.record.failed(now)
        pause = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** (self.failures - 1))
        self.avoid_until = now + pause

    def replaced(self, now: float) -> None:
        """Another one answers at its address: the list will say so."""
        self.avoid_until = max(self.avoid_until, now + REPLACED_PAUSE_S)

    def succeeded(self) -> None:
        """It has answered."""
        self.unresponsive = False
        self.failures, self.avoid_until = 0, 0.0
        self.max_inflight_seen = max(self.max_inflight_seen, self.inflight)

    def remember(self, parts: Iterable[PromptBlock]) -> None:
        """These parts have been read there."""
        for part in parts:
            self.cached[part.id] = None
            self.cached.move_to_end(part.id)
        while len(self.cached) > MAX_CACHED_BLOCKS:
            self.cached.popitem(last=False)

    def uncached_tokens(self, parts: tuple[PromptBlock, ...]) -> int:
        """Prompt tokens that it would have to read: all from the first part on that is not kept there."""
        for place, part in enumerate(parts):
            if part.id not in self.cached:
                return sum(later.tokens for later in parts[place:])
        return 0


def home_of(part: str, candidates: Iterable[SidecarState]) -> str:
    """The sidecar that all fronts take for the home of a shared part, by rendezvous hashing."""

    def weight(state: SidecarState) -> bytes:
        return hashlib.blake2b(f"{part}|{state.entry.id}".encode(), digest_size=8).digest()

    return max(candidates, key=weight).entry.id


class SidecarTable:
    """All sidecars by id."""

    def __init__(self, random: Random | None = None) -> None:
        self.zone = ""  # this front's own
        self.fronts = 1  # how many fronts there are, as far as is known
        self.fronts_counted = False  # whether somebody has counted them, or only a few have been seen
        self._random = random or Random()
        self._states: dict[str, SidecarState] = {}
        self._by_service: dict[str, list[SidecarState]] = {}
        self._free_slots: dict[str, tuple[float, FreeSlots]] = {}  # when they were counted, and how many
        self._means: dict[str, tuple[float, float]] = {}  # when it was counted, and requests at a sidecar
        self._reported_loads: dict[str, ReportedLoad] = {}  # by service
        self._homes: OrderedDict[str, SidecarState] = OrderedDict()  # by shared part
        self._holders: OrderedDict[str, deque[SidecarState]] = OrderedDict()  # that read it lately
        self._recent: dict[str, deque[SidecarState]] = {}  # by service, which answered lately

    def update(self, entries: Iterable[Sidecar]) -> list[str]:
        """Takes a list in; gives the ids that are gone."""
        listed = {entry.id: entry for entry in entries}
        gone = [sidecar_id for sidecar_id in self._states if sidecar_id not in listed]
        for sidecar_id in gone:
            del self._states[sidecar_id]
        for sidecar_id, entry in listed.items():
            state = self._states.get(sidecar_id)
            if state is None:
                self._states[sidecar_id] = SidecarState(entry)
            else:
                state.entry = entry
        self._by_service = {}
        for state in self._states.values():
            self._by_service.setdefault(state.entry.service, []).append(state)
        self._homes.clear()
        return gone

    def of_service(self, service: str) -> list[SidecarState]:
        """The sidecars of a service that are listed."""
        return self._by_service.get(service, [])

    def load(self, service: str, now: float) -> Load:
        """What is known of a service as a whole."""
        states = [state for state in self.of_service(service) if state.is_usable(now)]
        slots = sum(state.entry.slots for state in states)
        average = self._average_inflight(service, now)
        estimates = [(state.estimate(now, average), state.entry.slots) for state in states]
        running = sum(min(estimate, count) for estimate, count in estimates)
        waiting = sum(max(0.0, estimate - count) for estimate, count in estimates)
        return Load(running, waiting, float(max(1, slots)))

    def assumed_front_count(self, service: str) -> int:
        """How many fronts to share a service's sidecars with.

        Until they have been counted there may be many, all started at the same moment: so many that the part
        of each is SAFE_START slots.
        """
        if self.fronts_counted:
            return max(1, self.fronts)
        slots = sum(state.entry.slots for state in self.of_service(service))
        return max(1, self.fronts, int(slots / SAFE_START))

    def _mean_inflight(self, service: str, now: float) -> float:
        """This front's requests at a sidecar on average; of many sidecars as counted a moment ago."""
        states = self.of_service(service)
        counted_at, mean = self._means.get(service, (-1e9, 0.0))
        if now - counted_at >= FREE_SLOTS_FRESH_S or len(states) <= MAX_FULL_SCAN:
            mean = sum(state.inflight for state in states) / max(1, len(states))
            self._means[service] = (now, mean)
        return mean

    def record_load(
        self, state: SidecarState, now: float, running: float, waiting: float, slots: float
    ) -> None:
        """Takes in what a sidecar says of itself, which also tells of the others."""
        state.record_load(now, running, waiting, slots)
        told = self._reported_loads.setdefault(state.entry.service, ReportedLoad())
        told.learn(now, (running + waiting) / max(1.0, slots))

    def _average_inflight(self, service: str, now: float) -> AverageInflight:
        """The requests at a sidecar on average, as the sidecars tell, or else as if all fronts sent alike."""
        own = self._mean_inflight(service, now)
        told = self._reported_loads.get(service)
        states = self.of_service(service)
        if told is None or now - told.at > REPORT_FRESH_S or not states:
            return AverageInflight(own, (self.fronts - 1) * own)
        return AverageInflight(own, max(0.0, told.fill * states[0].entry.slots - own))

    def max_inflight(self, service: str, now: float) -> float:
        """The most requests of this front that the sidecars of a service may have at once."""
        states = [state for state in self.of_service(service) if state.is_usable(now)]
        return sum(max(state.entry.slots, state.max_inflight_seen) for state in states)

    def max_batch_items(self, service: str) -> int:
        """How many items this front may run at once: its even part of the slots that items may take."""
        slots = sum(state.entry.slots for state in self.of_service(service))
        return math.ceil(BATCH_FILL * slots / self.assumed_front_count(service))

    def free_slots(self, service: str, now: float) -> FreeSlots:
        """How many more requests the sidecars of a service can take without waiting there."""
        counted_at, counted = self._free_slots.get(service, (-1e9, FreeSlots(0, 0)))
        if now - counted_at < FREE_SLOTS_FRESH_S and len(self.of_service(service)) > MAX_FULL_SCAN:
            return counted
        counted = self._count_free_slots(service, now)
        self._free_slots[service] = (now, counted)
        return counted

    def count_started(self, service: str, live: int, batch: int) -> None:
        """So many requests and items have just started, which fresh places don't count yet."""
        counted_at, counted = self._free_slots.get(service, (-1e9, FreeSlots(0, 0)))
        left = FreeSlots(counted.live - live - batch, counted.batch - live - batch)
        self._free_slots[service] = (counted_at, left)

    def _count_free_slots(self, service: str, now: float) -> FreeSlots:
        live = batch = 0
        average = self._average_inflight(service, now)
        for state in self.of_service(service):
            if state.is_usable(now):
                estimate = state.estimate(now, average)
                slots = state.entry.slots * (1 - state.record.excess_failure_share(now))
                live += max(0, math.ceil(LIVE_FILL * slots - estimate))
                batch += max(0, math.ceil(BATCH_FILL * slots - estimate))
        return FreeSlots(live, batch)

    def unresponsive(self, now: float) -> list[SidecarState]:
        """The sidecars that are silent, as far as they have not been asked just now."""
        return [
            state
            for state in self._states.values()
            if state.detect_unresponsive(now) and now - state.report_requested_at >= MIN_REPORT_INTERVAL_S
        ]

    def with_stale_load(self, service: str, now: float) -> list[SidecarState]:
        """The sidecars whose load has not been told for longest, a few at a time.

        Each front asks the less often the more of them there are.
        """
        patience = max(MIN_REPORT_INTERVAL_S, self.fronts / MAX_REPORTS_PER_S)
        untold = [
            (max(state.reported_at, state.report_requested_at), place, state)
            for place, state in enumerate(self.of_service(service))
            if state.is_usable(now) and now - max(state.reported_at, state.report_requested_at) >= patience
        ]
        return [state for _, _, state in heapq.nsmallest(MAX_REPORT_REQUESTS, untold)]

    def choose(
        self, service: str, parts: tuple[PromptBlock, ...], now: float, tried: frozenset[str] = frozenset()
    ) -> SidecarState | None:
        """The sidecar that will probably have read the prompt first."""
        shared = next((part.id for part in parts[:-1] if part.tokens >= MIN_SHARED_BLOCK_TOKENS), None)
        states = self.of_service(service)
        weighed = states if len(states) <= MAX_FULL_SCAN else self._sample(states, shared)
        candidates = [state for state in weighed if state.is_reachable(now) and state.entry.id not in tried]
        if not candidates and weighed is not states:
            candidates = [
                state for state in states if state.is_reachable(now) and state.entry.id not in tried
            ]
        if not candidates:
            candidates = [state for state in states if state.is_usable(now) and state.entry.id not in tried]
        if not candidates:
            candidates = [  # better one in doubt than none
                state
                for state in self.of_service(service)
                if state.entry.ready and not state.leaving and state.entry.id not in tried
            ]
        if not candidates:
            return None
        home = None
        if shared is not None:
            home = home_of(shared, candidates) if weighed is states else self._home(shared, states).entry.id
        average = self._average_inflight(service, now)
        return min(candidates, key=lambda state: self._cost_ms(state, parts, home, average, now))

    def _sample(self, states: list[SidecarState], shared: str | None) -> list[SidecarState]:
        """Some at random, those with idle connections, and the home and some holders of a shared part."""
        chosen = self._random.sample(states, SAMPLED)
        chosen += [
            state
            for state in self._recent.get(states[0].entry.service, ())
            if state.connections.idle > 0 and self._states.get(state.entry.id) is state
        ]
        if shared is not None:
            chosen.append(self._home(shared, states))
            held = self._holders.get(shared, ())
            chosen += [state for state in held if self._states.get(state.entry.id) is state]
        return list({state.entry.id: state for state in chosen}.values())

    def _home(self, part: str, states: list[SidecarState]) -> SidecarState:
        home = self._homes.get(part)
        if home is None:
            ready = [state for state in states if state.entry.ready] or states
            home = self._homes[part] = self._states[home_of(part, ready)]
            while len(self._homes) > MAX_HOMES:
                self._homes.popitem(last=False)
        return home

    def remember(self, state: SidecarState, parts: tuple[PromptBlock, ...]) -> None:
        """A sidecar has read these parts."""
        state.remember(parts)
        recent = self._recent.setdefault(state.entry.service, deque(maxlen=SAMPLED_RECENT))
        if state not in recent:
            recent.append(state)
        for part in parts[:-1]:
            if part.tokens >= MIN_SHARED_BLOCK_TOKENS:
                held = self._holders.setdefault(part.id, deque(maxlen=SAMPLED_HOLDERS))
                if state not in held:
                    held.append(state)
                self._holders.move_to_end(part.id)
        while len(self._holders) > MAX_HOMES:
            self._holders.popitem(last=False)

    def _cost_ms(
        self,
        state: SidecarState,
        parts: tuple[PromptBlock, ...],
        home: str | None,
        average: AverageInflight,
        now: float,
    ) -> float:
        part_taken = (state.estimate(now, average) + 1) / max(1, state.entry.slots)
        cost = LOAD_COST_MS * part_taken + OVERFULL_COST_MS * max(0.0, part_taken - 1)
        cost += state.record.cost_ms(now)
        unread = state.uncached_tokens(parts)
        if home == state.entry.id and unread:
            unread = int(unread * (1 - HOME_SHARE))
        if state.entry.zone != self.zone:
            cost += OTHER_ZONE_COST_MS
        if state.connections.idle == 0:
            cost += CONNECTING_COST_MS
        return cost + unread / READ_TOKENS_PER_MS
