"""The table of all sidecars, with load estimates for each service. No I/O; times are seconds."""

import heapq
import math
from collections.abc import Iterable

from crowwing.tier.front.admission import FreeSlots, Load
from crowwing.tier.front.load_reports import REPORT_FRESH_S, AverageInflight, LoadReport, ReportedLoad
from crowwing.tier.front.sidecar_state import SidecarState
from crowwing.tier.platform_list import Sidecar

LIVE_FILL = 0.95  # share of a sidecar's slots that live requests may fill
BATCH_FILL = 0.65  # share of a sidecar's slots up to which batch items are started
MIN_REPORT_INTERVAL_S = 0.4  # since the last load report, before a sidecar is polled
MAX_REPORTS_PER_S = 20.0  # requested from a sidecar by all fronts together
MAX_REPORT_REQUESTS = 4  # sidecars that a front polls in one step
MAX_FULL_SCAN = 16  # largest number of sidecars that are all evaluated for each request
FREE_SLOTS_FRESH_S = 0.02  # how long counts are reused, for more than MAX_FULL_SCAN sidecars
UNCOUNTED_SHARE_SLOTS = 4.0  # a front's assumed share of the slots before the fronts were counted


class SidecarTable:
    """The listed sidecars by id, with totals for each service.

    Owned by `ServicePool`, which updates it; admission and routing read it.

    Attributes:
        fronts: The known number of fronts.
        fronts_counted: Whether this is the root's count; otherwise it is only a lower bound.
        version: Incremented with each update of the endpoint list.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.fronts = 1
        self.fronts_counted = False
        self.version = 0
        self._states: dict[str, SidecarState] = {}
        self._by_service: dict[str, list[SidecarState]] = {}
        self._free_slots: dict[str, tuple[float, FreeSlots]] = {}  # by service: when counted, and the counts
        self._means: dict[str, tuple[float, float]] = {}  # by service: when computed, and the mean inflight
        self._reported_loads: dict[str, ReportedLoad] = {}  # by service

    def update(self, entries: Iterable[Sidecar]) -> list[str]:
        """Applies an endpoint list; returns the ids of removed sidecars."""
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
        self.version += 1
        return gone

    def of_service(self, service: str) -> list[SidecarState]:
        """The listed sidecars of a service."""
        return self._by_service.get(service, [])

    def is_listed(self, state: SidecarState) -> bool:
        """Whether a sidecar is still on the endpoint list."""
        return self._states.get(state.entry.id) is state

    def load(self, service: str, now: float) -> Load:
        """The estimated total load of a service's usable sidecars."""
        states = [state for state in self.of_service(service) if state.is_usable(now)]
        slots = sum(state.entry.slots for state in states)
        average = self.average_inflight(service, now)
        estimates = [(state.estimate(now, average), state.entry.slots) for state in states]
        running = sum(min(estimate, count) for estimate, count in estimates)
        waiting = sum(max(0.0, estimate - count) for estimate, count in estimates)
        return Load(running, waiting, float(max(1, slots)))

    def assumed_front_count(self, service: str) -> int:
        """How many fronts are assumed to share a service's sidecars.

        Until they have been counted, many may have started at the same moment. The assumed number is then so
        high that the share of each is UNCOUNTED_SHARE_SLOTS slots.
        """
        if self.fronts_counted:
            return max(1, self.fronts)
        slots = sum(state.entry.slots for state in self.of_service(service))
        return max(1, self.fronts, int(slots / UNCOUNTED_SHARE_SLOTS))

    def _mean_inflight(self, service: str, now: float) -> float:
        """This front's average number of requests per sidecar; cached briefly if there are many sidecars."""
        states = self.of_service(service)
        counted_at, mean = self._means.get(service, (-1e9, 0.0))
        if now - counted_at >= FREE_SLOTS_FRESH_S or len(states) <= MAX_FULL_SCAN:
            mean = sum(state.inflight for state in states) / max(1, len(states))
            self._means[service] = (now, mean)
        return mean

    def record_load(self, state: SidecarState, now: float, report: LoadReport) -> None:
        """Records the load report of a sidecar, also in the average of its service."""
        state.record_load(now, report)
        slots = report.slots if report.slots is not None else state.entry.slots
        average = self._reported_loads.get(state.entry.service)
        if average is None:
            average = self._reported_loads[state.entry.service] = ReportedLoad()
        average.update(now, (report.running + report.waiting) / max(1.0, slots))

    def average_inflight(self, service: str, now: float) -> AverageInflight:
        """Average requests per sidecar, from load reports; without them, as if all fronts sent the same."""
        own = self._mean_inflight(service, now)
        reported = self._reported_loads.get(service)
        states = self.of_service(service)
        if reported is None or now - reported.updated_at > REPORT_FRESH_S or not states:
            return AverageInflight(own, (self.fronts - 1) * own)
        return AverageInflight(own, max(0.0, reported.fill * states[0].entry.slots - own))

    def max_inflight(self, service: str, now: float) -> float:
        """How many requests of this front the sidecars of a service can handle at once."""
        states = [state for state in self.of_service(service) if state.is_usable(now)]
        return sum(max(state.entry.slots, state.max_inflight_seen) for state in states)

    def max_batch_items(self, service: str) -> int:
        """How many batch items this front may run at once: its even share of the slots for items."""
        slots = sum(state.entry.slots for state in self.of_service(service))
        return math.ceil(BATCH_FILL * slots / self.assumed_front_count(service))

    def free_slots(self, service: str, now: float) -> FreeSlots:
        """How many more requests the sidecars of a service can take without queuing them."""
        counted_at, counted = self._free_slots.get(service, (-1e9, FreeSlots(0, 0)))
        if now - counted_at < FREE_SLOTS_FRESH_S and len(self.of_service(service)) > MAX_FULL_SCAN:
            return counted
        counted = self._count_free_slots(service, now)
        self._free_slots[service] = (now, counted)
        return counted

    def count_started(self, service: str, live: int, batch: int) -> None:
        """Subtracts requests and items that have just started from the cached count of free slots."""
        counted_at, counted = self._free_slots.get(service, (-1e9, FreeSlots(0, 0)))
        remaining = FreeSlots(counted.live - live - batch, counted.batch - live - batch)
        self._free_slots[service] = (counted_at, remaining)

    def _count_free_slots(self, service: str, now: float) -> FreeSlots:
        live = batch = 0
        average = self.average_inflight(service, now)
        for state in self.of_service(service):
            if state.is_usable(now):
                estimate = state.estimate(now, average)
                slots = state.entry.slots * (1 - state.failure_rate.excess_failure_share(now))
                live += max(0, math.ceil(LIVE_FILL * slots - estimate))
                batch += max(0, math.ceil(BATCH_FILL * slots - estimate))
        return FreeSlots(live, batch)

    def unresponsive(self, now: float) -> list[SidecarState]:
        """The unresponsive sidecars that were not polled within MIN_REPORT_INTERVAL_S."""
        return [
            state
            for state in self._states.values()
            if state.detect_unresponsive(now) and now - state.report_requested_at >= MIN_REPORT_INTERVAL_S
        ]

    def with_stale_load(self, service: str, now: float) -> list[SidecarState]:
        """The sidecars with the oldest load reports, at most MAX_REPORT_REQUESTS.

        The more fronts there are, the less often each of them polls.
        """
        interval_s = max(MIN_REPORT_INTERVAL_S, self.fronts / MAX_REPORTS_PER_S)
        stale = [
            (max(state.reported_at, state.report_requested_at), index, state)
            for index, state in enumerate(self.of_service(service))
            if state.is_usable(now) and now - max(state.reported_at, state.report_requested_at) >= interval_s
        ]
        return [state for _, _, state in heapq.nsmallest(MAX_REPORT_REQUESTS, stale)]
