"""What the fleet keeps together meets the module: the pace of calls lent and borrowed, customers' shares by
use, what others have learned, prints of what others turned away.

Loaded only where the operator file has a `fleet` section that switches one of them on. Decisions are the pure
files' under `crowwing/fleet/`; this brings them the module's figures and hands it what they say, four times a
second and at once when a loan ends.
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

EVERY = 0.25  # seconds between two looks
MEMORY = 8  # looks over which the use of calls is averaged
TURNED_LIFE = 8_000_000  # µs; a ring of 16 places comes round in 4 s
LESSON_EVERY, LESSON_LIFE = 20, 3_600_000_000  # looks between two lessons told; µs that one stands


class Together:
    def __init__(
        self,
        link: "FleetEndpoint",
        dispatcher: Dispatcher,
        names: WireNames,
        fleet: SimpleNamespace,
        life: str,
        recorder: EventRecorder,
    ) -> None:
        self.link, self.member, self.dispatcher, self.names, self.recorder = (
            link,
            link.member,
            dispatcher,
            names,
            recorder,
        )
        self.lends, self.shares, self.teaches = fleet.lends_calls, fleet.shares_quota, fleet.teaches
        self.life, self.window = life, fleet.quota_window_ms * 1000
        self.used, self.spent = 0.0, (0, 0.0)  # of late, in even parts of the pace; when and how much in all
        self.looks, self.taught = 0, False
        self.parts = [1.0] * len(names.customers)
        self.counted_to = quota.window_of(link.wall(), self.window)
        self.turned: RejectionPrints | None = None
        if fleet.shares_prints and dispatcher.storm_monitor is not None:
            self.turned = RejectionPrints(self.member.me, random.Random(f"{life}/turned"))
            dispatcher.storm_monitor.share_rejection = self.turned.add
        if self.shares:
            dispatcher.arrivals_by_customer = Counter()  # by customer's place; emptied by each window

    async def run(self) -> None:
        while True:
            await asyncio.sleep(EVERY)
            if self.dispatcher.manager is not None:
                self.look(self.dispatcher.manager)

    def look(self, manager: LoadManager) -> None:
        self.looks += 1
        if self.teaches and not self.taught and self.member.ready:
            self._learn(manager)
        if self.teaches and self.looks % LESSON_EVERY == 0:
            self._teach(manager)
        if self.shares:
            self._share()
        if self.turned is not None and self.dispatcher.storm_monitor is not None:
            self._tell_turned(self.turned)
        manager.set_fleet_scale(self._borrow(manager) if self.lends else 1.0, self.parts)
        self.link.tick()

    def _borrow(self, manager: LoadManager) -> float:
        now, loans = self.link.now(), self.member.loans
        (at, spent), self.spent = self.spent, (now, manager.call_total)
        if at and now > at and manager.call_rate > 0:
            used = (manager.call_total - spent) / (now - at) / manager.call_rate
            self.used += (used - self.used) / MEMORY
        starved = bool(manager.call_queue) and manager.spent > manager.call_burst / 2
        want = desired_share(self.used, loans.share(now), starved)
        loans.tick(now, self.member.membership.alive(), self.used, want)
        return loans.share(now)

    def _share(self) -> None:
        wall = self.link.wall()
        window = quota.window_of(wall, self.window)
        if window > self.counted_to:
            came, self.dispatcher.arrivals_by_customer = self.dispatcher.arrivals_by_customer, Counter()
            for team, count in came.items():
                key = quota.usage_key(self.names.customers[team], self.counted_to, self.member.me, self.life)
                self._put(wall, key, count, (quota.WINDOWS + 2) * self.window)
            self.counted_to = window
        rows = ((key, entry.value) for key, entry in self.member.replica.with_prefix("use/"))
        use = quota.usage_by_customer(rows, wall, self.window)
        alive, size = self.member.membership.alive(), len(self.member.membership.members) + 1
        empty: Counter[str] = Counter()
        self.parts = [
            quota.quota_share(use.get(customer, empty), self.member.me, alive, size)
            for customer in self.names.customers
        ]

    def _tell_turned(self, turned: RejectionPrints) -> None:
        if (told := turned.next_entry()) is not None:
            self._put(self.link.wall(), *told, TURNED_LIFE)
        if prints := turned.new_prints(self.member.replica.with_prefix("turned/")):
            self.dispatcher.storm_monitor.record_remote_rejections(prints)
            self.recorder.count("prints_heard", len(prints))

    def _teach(self, manager: LoadManager) -> None:
        """Only what was measured here."""
        kinds = tuple(
            (manager.timeouts[k], manager.medians[k]) if len(runs) >= MIN_SAMPLES else (0, 0)
            for k, runs in enumerate(manager.runs)
        )
        call = manager.usual_call if manager.call_count > 2 * MIN_SAMPLES else 0
        if call or any(kinds):
            learned = learned_start.LearnedStart(kinds, manager.limit, call)
            self._put(self.link.wall(), f"lesson/{self.member.me}", learned.as_dict(), LESSON_LIFE)

    def _learn(self, manager: LoadManager) -> None:
        """Once, when this member has caught up."""
        self.taught = True
        lessons = (entry.value for _, entry in self.member.replica.with_prefix("lesson/"))
        start = learned_start.combine(lessons, len(manager.facts.classes))
        if start is not None:
            manager.apply_learned(
                self.dispatcher.now(), start.request_classes, start.concurrency_limit, start.call_time
            )
            self.recorder.event(
                "taught", call_ms=start.call_time / 1000, limit=round(start.concurrency_limit, 2)
            )

    def _put(self, wall: int, key: str, value: object, life: int) -> None:
        try:
            self.member.dissemination.put(wall, key, value, life)
        except EntryRejectedError as wrong:
            self.recorder.count("not_kept")
            if self.recorder.counts["not_kept"] == 1:  # said once; counted from then on
                self.recorder.event("fleet_full", why=str(wrong))

    def figures(self) -> dict:
        """For the line of figures."""
        told: dict = {"fleet_entries": sum(len(kept.replica.entries) for kept in self.member.disseminations)}
        if self.lends:
            told |= {
                "call_part": round(self.member.loans.share(self.link.now()), 2),
                "call_use": round(self.used, 2),
            }
        if self.shares:
            told["quota_parts"] = [round(part, 2) for part in self.parts]
        return told
