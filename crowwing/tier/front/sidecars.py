"""The sidecars that this front knows, what it believes of each, and which one gets the next request. Pure."""

import hashlib
import heapq
import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from crowwing.tier.front.admission import Load, Places
from crowwing.tier.front.sidecar_connections import ConnectionState
from crowwing.tier.front.track_record import TrackRecord
from crowwing.tier.platform_list import Sidecar

CACHED_PARTS = 4000  # remembered prompt parts a sidecar
LOAD_FRESH_S, LOAD_FADES_S = 0.3, 1.0  # how long a report of load counts in full, and then fades
LIVE_FILL, PATIENT_FILL = 0.95, 0.65  # of a sidecar's slots, up to which requests and items of lots go there
SILENT_S = 0.35  # without a byte while a request waits, after which a sidecar gets no more
ASK_AFTER_S = 0.4  # without news of its load, after which a sidecar is asked for its report
REPORTS_PER_S = 20.0  # that a sidecar is asked for by all fronts together at most
ASKED_AT_ONCE = 4  # sidecars that a front asks in one step at most
REPLACED_S = 1.0  # without requests to a sidecar in whose place another one answers
BACKOFF_LEAST_S, BACKOFF_MOST_S = 0.5, 4.0
LOAD_COST_MS = 120.0  # of a sidecar whose slots are all taken
OTHER_ZONE_COST_MS = 4.0  # bytes between zones have a price
CONNECTING_COST_MS = 30.0  # a new connection takes round trips and processor time, and has a price
OVERFULL_COST_MS = 400.0  # more for each further slots' worth
READ_TOKENS_PER_MS = 128.0
SHARED_PART_LEAST = 1000  # tokens from which fronts agree on a home for a shared part
FULL_SCAN_MOST = 16  # sidecars of a service that are all weighed for each request; of more, a sample is
SAMPLED, SAMPLED_HOLDERS = 12, 3  # at random, and of those that hold the large shared part
SAMPLED_RECENT = 16  # of those that answered lately, as far as a connection to them is kept
TOLD_WEIGHT, TOLD_FRESH_S = 0.1, 1.0  # of the newest word on load in the mean, and how long that counts
TOLD_MOST = 3.0  # in slots, the most that one word on load counts for
SAFE_START = 4.0  # slots that a front takes for its part before the fronts have been counted
HOMES_KEPT = 4000  # shared parts whose home is remembered
LOAD_SHAPE = 2.0  # of the gamma distribution of loads among sidecars: they differ by 0.7 of the mean
PLACES_FRESH_S = 0.02  # for how long places are counted on instead of counted, where all are not weighed
HOME_SHARE = 0.6  # of a part's reading that its home is credited with before it is known to be there


@dataclass(frozen=True)
class Part:
    """One part of a prompt."""

    id: str
    tokens: int


def parse_prompt(header: str) -> tuple[Part, ...]:
    """The parts that `Prompt-Prefix` names; what can't be read is left out."""
    parts: list[Part] = []
    for piece in header.split(","):
        name, _, tokens = piece.strip().partition(":")
        if name and tokens.isdigit():
            parts.append(Part(name, int(tokens)))
    return tuple(parts)


@dataclass(frozen=True)
class Crowd:
    """Requests at a sidecar of a service on average: this front's own, and those of all other fronts."""

    own: float
    others: float


@dataclass
class ToldLoad:
    """What the sidecars of a service say of their load, as an average that forgets. Times are seconds."""

    taken: float = 0.0  # part of the slots, more than 1 where requests wait
    at: float = -1e9

    def learn(self, now: float, taken: float) -> None:
        """Takes in what one sidecar says; one that says too much counts as crowded, not more."""
        bounded = min(TOLD_MOST, max(0.0, taken))
        self.taken = (
            bounded if now - self.at > TOLD_FRESH_S else self.taken + TOLD_WEIGHT * (bounded - self.taken)
        )
        self.at = now


@dataclass(eq=False)
class SidecarState:
    """What this front knows of one sidecar."""

    entry: Sidecar
    inflight: int = 0
    most_survived: int = 0
    running: float = 0.0  # as last told by it
    waiting: float = 0.0
    told_at: float = -1e9
    heard_at: float = -1e9  # when anything came from it
    asked_at: float = -1e9
    sent_since: int = 0  # by this front since then
    failures: int = 0
    avoid_until: float = 0.0
    unanswered: dict[int, float] = field(
        default_factory=dict
    )  # tries without a head, and when they were sent
    silent: bool = False  # nothing comes from it although something should
    leaving: bool = False  # its answers say so, before the list does
    cached: OrderedDict[str, None] = field(default_factory=OrderedDict)
    record: TrackRecord = field(default_factory=TrackRecord)
    connections: ConnectionState = field(default_factory=ConnectionState)

    def estimate(self, now: float, crowd: "Crowd") -> float:
        """Requests that it probably has now: as told, or later as all sidecars of the service have."""
        age = now - self.told_at
        weight = min(1.0, max(0.0, 1 - (age - LOAD_FRESH_S) / LOAD_FADES_S))
        told = self.running + self.waiting + self.sent_since
        guessed = self.inflight + crowd.others * self._unlike_others(crowd.own)
        return max(float(self.inflight), weight * told + (1 - weight) * guessed)

    def _unlike_others(self, mean: float) -> float:
        """By how much its load probably differs from the mean, as this front's own count there tells.

        The mean of a gamma distribution of loads, given one Poisson count where `mean` was to be expected; a
        count of 1 where nearly all are 0 says little, a count of 20 where the mean is 10 says much.
        """
        return (self.inflight + LOAD_SHAPE) / (mean + LOAD_SHAPE)

    def tell_load(self, now: float, running: float, waiting: float, slots: float) -> None:
        """Takes in what it says of itself."""
        self.running, self.waiting, self.told_at, self.sent_since = running, waiting, now, 0

    def one_less(self) -> None:
        """A request of this front has left it, so that it runs one less than it last told."""
        if self.sent_since > 0:
            self.sent_since -= 1
        else:
            self.running = max(0.0, self.running - 1)

    def usable(self, now: float) -> bool:
        """Whether new requests may go there."""
        return self.entry.ready and not self.leaving and not self.silent and now >= self.avoid_until

    def reachable(self, now: float) -> bool:
        """Whether new requests may go there and would find a connection."""
        return self.usable(now) and self.connections.available(now)

    def notice_silence(self, now: float) -> bool:
        """Whether it has been silent for long while a request waits there; noted until it speaks again."""
        if not self.silent and self.unanswered:
            quiet_since = max(min(self.unanswered.values()), self.heard_at)
            self.silent = now - quiet_since >= SILENT_S
        return self.silent

    def failed(self, now: float) -> None:
        """It could not be reached, or fell silent: stay away for a while that grows."""
        self.failures += 1
        self.record.failed(now)
        pause = min(BACKOFF_MOST_S, BACKOFF_LEAST_S * 2 ** (self.failures - 1))
        self.avoid_until = now + pause

    def replaced(self, now: float) -> None:
        """Another one answers at its address: the list will say so."""
        self.avoid_until = max(self.avoid_until, now + REPLACED_S)

    def succeeded(self) -> None:
        """It has answered."""
        self.silent = False
        self.failures, self.avoid_until = 0, 0.0
        self.most_survived = max(self.most_survived, self.inflight)

    def remember(self, parts: Iterable[Part]) -> None:
        """These parts have been read there."""
        for part in parts:
            self.cached[part.id] = None
            self.cached.move_to_end(part.id)
        while len(self.cached) > CACHED_PARTS:
            self.cached.popitem(last=False)

    def unread_tokens(self, parts: tuple[Part, ...]) -> int:
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
        self._places: dict[str, tuple[float, Places]] = {}  # when they were counted, and how many
        self._means: dict[str, tuple[float, float]] = {}  # when it was counted, and requests at a sidecar
        self._told: dict[str, ToldLoad] = {}  # by service
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
        states = [state for state in self.of_service(service) if state.usable(now)]
        slots = sum(state.entry.slots for state in states)
        crowd = self._crowd(service, now)
        estimates = [(state.estimate(now, crowd), state.entry.slots) for state in states]
        running = sum(min(estimate, count) for estimate, count in estimates)
        waiting = sum(max(0.0, estimate - count) for estimate, count in estimates)
        return Load(running, waiting, float(max(1, slots)))

    def presumed_fronts(self, service: str) -> int:
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
        if now - counted_at >= PLACES_FRESH_S or len(states) <= FULL_SCAN_MOST:
            mean = sum(state.inflight for state in states) / max(1, len(states))
            self._means[service] = (now, mean)
        return mean

    def tell_load(
        self, state: SidecarState, now: float, running: float, waiting: float, slots: float
    ) -> None:
        """Takes in what a sidecar says of itself, which also tells of the others."""
        state.tell_load(now, running, waiting, slots)
        told = self._told.setdefault(state.entry.service, ToldLoad())
        told.learn(now, (running + waiting) / max(1.0, slots))

    def _crowd(self, service: str, now: float) -> Crowd:
        """The requests at a sidecar on average, as the sidecars tell, or else as if all fronts sent alike."""
        own = self._mean_inflight(service, now)
        told = self._told.get(service)
        states = self.of_service(service)
        if told is None or now - told.at > TOLD_FRESH_S or not states:
            return Crowd(own, (self.fronts - 1) * own)
        return Crowd(own, max(0.0, told.taken * states[0].entry.slots - own))

    def survived(self, service: str, now: float) -> float:
        """The most requests of this front that the sidecars of a service may have at once."""
        states = [state for state in self.of_service(service) if state.usable(now)]
        return sum(max(state.entry.slots, state.most_survived) for state in states)

    def item_share(self, service: str) -> int:
        """How many items this front may run at once: its even part of the slots that items may take."""
        slots = sum(state.entry.slots for state in self.of_service(service))
        return math.ceil(PATIENT_FILL * slots / self.presumed_fronts(service))

    def places(self, service: str, now: float) -> Places:
        """How many more requests the sidecars of a service can take without waiting there."""
        counted_at, counted = self._places.get(service, (-1e9, Places(0, 0)))
        if now - counted_at < PLACES_FRESH_S and len(self.of_service(service)) > FULL_SCAN_MOST:
            return counted
        counted = self._count_places(service, now)
        self._places[service] = (now, counted)
        return counted

    def taken(self, service: str, live: int, patient: int) -> None:
        """So many requests and items have just started, which fresh places don't count yet."""
        counted_at, counted = self._places.get(service, (-1e9, Places(0, 0)))
        left = Places(counted.live - live - patient, counted.patient - live - patient)
        self._places[service] = (counted_at, left)

    def _count_places(self, service: str, now: float) -> Places:
        live = patient = 0
        crowd = self._crowd(service, now)
        for state in self.of_service(service):
            if state.usable(now):
                estimate = state.estimate(now, crowd)
                slots = state.entry.slots * (1 - state.record.share_failing(now))
                live += max(0, math.ceil(LIVE_FILL * slots - estimate))
                patient += max(0, math.ceil(PATIENT_FILL * slots - estimate))
        return Places(live, patient)

    def silent(self, now: float) -> list[SidecarState]:
        """The sidecars that are silent, as far as they have not been asked just now."""
        return [
            state
            for state in self._states.values()
            if state.notice_silence(now) and now - state.asked_at >= ASK_AFTER_S
        ]

    def to_be_asked(self, service: str, now: float) -> list[SidecarState]:
        """The sidecars whose load has not been told for longest, a few at a time.

        Each front asks the less often the more of them there are.
        """
        patience = max(ASK_AFTER_S, self.fronts / REPORTS_PER_S)
        untold = [
            (max(state.told_at, state.asked_at), place, state)
            for place, state in enumerate(self.of_service(service))
            if state.usable(now) and now - max(state.told_at, state.asked_at) >= patience
        ]
        return [state for _, _, state in heapq.nsmallest(ASKED_AT_ONCE, untold)]

    def choose(
        self, service: str, parts: tuple[Part, ...], now: float, tried: frozenset[str] = frozenset()
    ) -> SidecarState | None:
        """The sidecar that will probably have read the prompt first."""
        shared = next((part.id for part in parts[:-1] if part.tokens >= SHARED_PART_LEAST), None)
        states = self.of_service(service)
        weighed = states if len(states) <= FULL_SCAN_MOST else self._sample(states, shared)
        candidates = [state for state in weighed if state.reachable(now) and state.entry.id not in tried]
        if not candidates and weighed is not states:
            candidates = [state for state in states if state.reachable(now) and state.entry.id not in tried]
        if not candidates:
            candidates = [state for state in states if state.usable(now) and state.entry.id not in tried]
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
        crowd = self._crowd(service, now)
        return min(candidates, key=lambda state: self._cost_ms(state, parts, home, crowd, now))

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
            while len(self._homes) > HOMES_KEPT:
                self._homes.popitem(last=False)
        return home

    def remember(self, state: SidecarState, parts: tuple[Part, ...]) -> None:
        """A sidecar has read these parts."""
        state.remember(parts)
        recent = self._recent.setdefault(state.entry.service, deque(maxlen=SAMPLED_RECENT))
        if state not in recent:
            recent.append(state)
        for part in parts[:-1]:
            if part.tokens >= SHARED_PART_LEAST:
                held = self._holders.setdefault(part.id, deque(maxlen=SAMPLED_HOLDERS))
                if state not in held:
                    held.append(state)
                self._holders.move_to_end(part.id)
        while len(self._holders) > HOMES_KEPT:
            self._holders.popitem(last=False)

    def _cost_ms(
        self, state: SidecarState, parts: tuple[Part, ...], home: str | None, crowd: Crowd, now: float
    ) -> float:
        part_taken = (state.estimate(now, crowd) + 1) / max(1, state.entry.slots)
        cost = LOAD_COST_MS * part_taken + OVERFULL_COST_MS * max(0.0, part_taken - 1)
        cost += state.record.cost_ms(now)
        unread = state.unread_tokens(parts)
        if home == state.entry.id and unread:
            unread = int(unread * (1 - HOME_SHARE))
        if state.entry.zone != self.zone:
            cost += OTHER_ZONE_COST_MS
        if state.connections.idle == 0:
            cost += CONNECTING_COST_MS
        return cost + unread / READ_TOKENS_PER_MS
