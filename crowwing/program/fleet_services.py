"""Connects the decision module with what the fleet shares: call rates lent and borrowed, customers' quota by
use, learned starts, fingerprints of requests that other members rejected.

Loaded only if the `fleet` section of the operator file switches on one of them. The decisions are made by the
modules under `crowwing/fleet/`, which do no input or output; this one passes figures and results between them
and the decision module, four times a second and at once when a loan ends.
"""

import asyncio
import random
from collections import Counter
from types import SimpleNamespace
from typing import TYPE_CHECKING

from crowwing.contract import WireNames
from crowwing.fleet.state.replica import EntryRejectedError
from crowwing.fleet.uses import learned_start, quota
from crowwing.fleet.uses.call_budget_loans import desired_share
from crowwing.fleet.uses.rejection_prints import RejectionPrints
from crowwing.logic.feedback import MIN_SAMPLES
from crowwing.logic.load_manager import LoadManager
from crowwing.routing.dispatcher import Dispatcher
from crowwing.routing.event_recorder import EventRecorder

if TYPE_CHECKING:
    from crowwing.fleet.adapters.endpoint import FleetEndpoint

UPDATE_INTERVAL = 0.25  # seconds
USE_AVERAGING_UPDATES = 8  # updates over which the use of the call rate is averaged
REJECTIONS_LIFETIME = 8_000_000  # µs; a ring of 16 slots wraps around in 4 s
# Updates between two published learned starts; µs until one expires.
LEARNED_START_INTERVAL, LEARNED_START_LIFETIME = 20, 3_600_000_000


class FleetServices:
    def __init__(
        self,
        endpoint: "FleetEndpoint",
        dispatcher: Dispatcher,
        names: WireNames,
        fleet: SimpleNamespace,
        incarnation: str,
        recorder: EventRecorder,
    ) -> None:
        self.endpoint, self.member, self.dispatcher, self.names, self.recorder = (
            endpoint,
            endpoint.member,
            dispatcher,
            names,
            recorder,
        )
        self.lends, self.shares, self.teaches = fleet.lends_calls, fleet.shares_quota, fleet.teaches
        self.incarnation, self.window = incarnation, fleet.quota_window_ms * 1000
        # Recent use as a fraction of the call rate; time and value of the last total.
        self.call_use, self.last_call_total = 0.0, (0, 0.0)
        self.updates, self.start_applied = 0, False
        self.quota_shares = [1.0] * len(names.customers)
        self.counted_until = quota.window_of(endpoint.wall(), self.window)
        self.rejections: RejectionPrints | None = None
        if fleet.shares_prints and dispatcher.storm_monitor is not None:
            self.rejections = RejectionPrints(self.member.me, random.Random(f"{incarnation}/turned"))
            dispatcher.storm_monitor.share_rejection = self.rejections.add
        if self.shares:
            dispatcher.arrivals_by_customer = Counter()  # by customer index; reset by each window

    async def run(self) -> None:
        while True:
            await asyncio.sleep(UPDATE_INTERVAL)
            if self.dispatcher.manager is not None:
                self.update(self.dispatcher.manager)

    def update(self, manager: LoadManager) -> None:
        self.updates += 1
        if self.teaches and not self.start_applied and self.member.ready:
            self._apply_learned_start(manager)
        if self.teaches and self.updates % LEARNED_START_INTERVAL == 0:
            self._publish_learned_start(manager)
        if self.shares:
            self._update_quota_shares()
        if self.rejections is not None and self.dispatcher.storm_monitor is not None:
            self._share_rejections(self.rejections)
        manager.set_fleet_scale(self._update_call_rate(manager) if self.lends else 1.0, self.quota_shares)
        self.endpoint.tick()

    def _update_call_rate(self, manager: LoadManager) -> float:
        now, loans = self.endpoint.now(), self.member.loans
        (at, call_total), self.last_call_total = self.last_call_total, (now, manager.call_total)
        if at and now > at and manager.call_rate > 0:
            use = (manager.call_total - call_total) / (now - at) / manager.call_rate
            self.call_use += (use - self.call_use) / USE_AVERAGING_UPDATES
        starved = bool(manager.call_queue) and manager.spent > manager.call_burst / 2
        want = desired_share(self.call_use, loans.share(now), starved)
        loans.tick(now, self.member.membership.alive(), self.call_use, want)
        return loans.share(now)

    def _update_quota_shares(self) -> None:
        wall = self.endpoint.wall()
        window = quota.window_of(wall, self.window)
        if window > self.counted_until:
            arrivals, self.dispatcher.arrivals_by_customer = self.dispatcher.arrivals_by_customer, Counter()
            for customer_index, count in arrivals.items():
                key = quota.usage_key(
                    self.names.customers[customer_index], self.counted_until, self.member.me, self.incarnation
                )
                self._put(wall, key, count, (quota.WINDOWS + 2) * self.window)
            self.counted_until = window
        rows = ((key, entry.value) for key, entry in self.member.replica.with_prefix("use/"))
        use = quota.usage_by_customer(rows, wall, self.window)
        alive, size = self.member.membership.alive(), len(self.member.membership.members) + 1
        empty: Counter[str] = Counter()
        self.quota_shares = [
            quota.quota_share(use.get(customer, empty), self.member.me, alive, size)
            for customer in self.names.customers
        ]

    def _share_rejections(self, rejections: RejectionPrints) -> None:
        if (message := rejections.next_entry()) is not None:
            self._put(self.endpoint.wall(), *message, REJECTIONS_LIFETIME)
        if prints := rejections.new_prints(self.member.replica.with_prefix("turned/")):
            self.dispatcher.storm_monitor.record_remote_rejections(prints)
            self.recorder.count("prints_heard", len(prints))

    def _publish_learned_start(self, manager: LoadManager) -> None:
        """Publishes only what this member has measured itself."""
        request_classes = tuple(
            (manager.timeouts[k], manager.medians[k]) if len(runs) >= MIN_SAMPLES else (0, 0)
            for k, runs in enumerate(manager.runs)
        )
        call_time = manager.usual_call if manager.call_count > 2 * MIN_SAMPLES else 0
        if call_time or any(request_classes):
            learned = learned_start.LearnedStart(request_classes, manager.limit, call_time)
            self._put(
                self.endpoint.wall(), f"lesson/{self.member.me}", learned.as_dict(), LEARNED_START_LIFETIME
            )

    def _apply_learned_start(self, manager: LoadManager) -> None:
        """Applies the learned starts of others, once, when this member has caught up."""
        self.start_applied = True
        starts = (entry.value for _, entry in self.member.replica.with_prefix("lesson/"))
        start = learned_start.combine(starts, len(manager.facts.classes))
        if start is not None:
            manager.apply_learned(
                self.dispatcher.now(), start.request_classes, start.concurrency_limit, start.call_time
            )
            self.recorder.event(
                "taught", call_ms=start.call_time / 1000, limit=round(start.concurrency_limit, 2)
            )

    def _put(self, wall: int, key: str, value: object, lifetime: int) -> None:
        try:
            self.member.dissemination.put(wall, key, value, lifetime)
        except EntryRejectedError as error:
            self.recorder.count("not_kept")
            if self.recorder.counts["not_kept"] == 1:  # logged once, then only counted
                self.recorder.event("fleet_full", why=str(error))

    def figures(self) -> dict:
        """Values for the `figures` line."""
        figures: dict = {
            "fleet_entries": sum(
                len(dissemination.replica.entries) for dissemination in self.member.disseminations
            )
        }
        if self.lends:
            figures |= {
                "call_part": round(self.member.loans.share(self.endpoint.now()), 2),
                "call_use": round(self.call_use, 2),
            }
        if self.shares:
            figures["quota_parts"] = [round(share, 2) for share in self.quota_shares]
        return figures
