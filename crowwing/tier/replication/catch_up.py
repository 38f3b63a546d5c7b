"""Catch-up of learners: the primary brings as many spares up to date as its view lacks members."""

from collections.abc import Mapping
from dataclasses import dataclass

from crowwing.tier.replication import messages, range_transfer
from crowwing.tier.replication.core import ReplicaCore
from crowwing.tier.replication.spares import ZoneSpread
from crowwing.tier.replication.terms import LOG_START, LogPosition, Term, View
from crowwing.tier.replication.timing import (
    HEARTBEAT_INTERVAL_S,
    LEARNER_BACKOFF_S,
    LEARNER_CHOICE_DELAY_S,
    LEARNER_RANGES_WAIT_S,
    LEARNER_STALLED_S,
    LEARNER_TIMEOUT_S,
    MAX_LEARNER_LAG_BYTES,
    MAX_LEARNER_LAG_ENTRIES,
    SLOW_DISK_FACTOR,
    SLOW_DISK_SYNC_S,
)
from crowwing.tier.replication.view_limits import ViewLimits


@dataclass
class Learner:
    """A spare that is catching up.

    Attributes:
        heard_at: when its last response arrived.
        progress_at: when it last made progress.
        last: the end of its log.
        wait_until: nothing more is sent to it before this time, unless it responds.
        is_ready: whether its lag and its disk permit it to become a member.
    """

    heard_at: float
    progress_at: float
    last: LogPosition = LOG_START
    wait_until: float = 0.0
    is_ready: bool = False


class CatchUp:
    """Chooses learners among the spares and sends them missing data; owned by one Primary."""

    def __init__(
        self, core: ReplicaCore, view: View, limits: ViewLimits, disk_sync_s: Mapping[str, float], now: float
    ) -> None:
        """A catch-up without learners.

        Args:
            core: the replica.
            view: the current view, which begins now.
            limits: the size limits of a view.
            disk_sync_s: seconds that a write takes on the disk of each member, as reported.
            now: the current time.
        """
        self._disk_sync_s = disk_sync_s
        self._core = core
        self._view = view
        self._limits = limits
        self._selection_starts_at = now + LEARNER_CHOICE_DELAY_S
        self._learners: dict[str, Learner] = {}

    @property
    def learners(self) -> set[str]:
        """The replicas that are catching up."""
        return set(self._learners)

    def ready(self, now: float) -> frozenset[str]:
        """The learners that may become members now."""
        return frozenset(
            host
            for host, learner in self._learners.items()
            if learner.is_ready and now - learner.heard_at < 2 * HEARTBEAT_INTERVAL_S
        )

    def tick(self, now: float) -> None:
        """Drops learners that have timed out or stalled, and chooses others to replace them."""
        for host, learner in list(self._learners.items()):
            has_timed_out = now - learner.heard_at >= LEARNER_TIMEOUT_S
            is_stalled = not learner.is_ready and now - learner.progress_at >= LEARNER_STALLED_S
            if has_timed_out or is_stalled or host in self._core.excluded:
                del self._learners[host]
                self._core.spares.back_off(host, now + LEARNER_BACKOFF_S)
        missing = self._missing_count()
        if missing > 0 and now >= self._selection_starts_at:
            self._choose(now, missing)

    def _missing_count(self) -> int:
        staying = set(self._view.members) - self._core.excluded
        return self._limits.max_replicas - len(staying) - len(self._learners)

    def _choose(self, now: float, count: int) -> None:
        core = self._core
        members = set(self._view.members)
        zones = ZoneSpread(core.zones, (members - core.excluded) | self._learners.keys())
        unavailable = members | core.excluded | self._learners.keys()
        for host in core.spares.choose(now, count, unavailable, core.log, zones):
            self._learners[host] = Learner(heard_at=now, progress_at=now)

    def on_heartbeat_response(self, now: float, response: messages.HeartbeatResponse) -> None:
        """Updates the status of a replica outside the view, and sends it more data if it is a learner."""
        core = self._core
        core.spares.update_status(now, response)
        learner = self._learners.get(response.sender)
        if learner is None:
            return
        learner.heard_at = now
        if response.last != learner.last:
            learner.last = response.last
            learner.progress_at = now
        has_fast_disk = response.sync_s < self._slow_disk_s() / 2
        learner.is_ready = self._is_within_max_lag(response) and has_fast_disk
        is_complete = response.last == core.log.last and response.synced == core.durable.promised
        # A caught-up learner with a slow disk is sent data too: its writes show when the disk is fast again.
        if not (is_complete and has_fast_disk) and now >= learner.wait_until:
            learner.wait_until = now + core.send_sync(response.sender, response.last)

    def _slow_disk_s(self) -> float:
        """The write time from which a disk counts as slow, compared with those of the members."""
        sync_s = sorted(self._disk_sync_s.get(member, 0.0) for member in self._view.members)
        return max(SLOW_DISK_SYNC_S, SLOW_DISK_FACTOR * sync_s[(len(sync_s) - 1) // 2])

    def _is_within_max_lag(self, response: messages.HeartbeatResponse) -> bool:
        log = self._core.log
        if response.synced != self._core.durable.promised:
            return False
        lag_entries = log.last[1] - response.last[1]
        if not 0 <= lag_entries <= MAX_LEARNER_LAG_ENTRIES:
            return False
        return log.bytes_between(response.last[1], log.last[1]) <= MAX_LEARNER_LAG_BYTES

    def on_sync_response(self, now: float, response: messages.SyncResponse) -> None:
        """Sends digests to a learner whose log did not match; others get more at their next response."""
        learner = self._learners.get(response.sender)
        if response.term != self._core.durable.promised or learner is None:
            return
        if response.matched:
            learner.wait_until = now
        else:
            learner.wait_until = now + LEARNER_RANGES_WAIT_S
            self._core.send_digests(response.sender)

    def on_ranges_request(self, now: float, request: messages.RangesRequest) -> None:
        """Sends ranges to a learner."""
        if self._serves(request.term, request.sender):
            range_transfer.send_ranges(self._core, request)
            self._update_progress(now, request.sender)

    def on_entries_request(self, now: float, request: messages.EntriesRequest) -> None:
        """Sends the entries that complete a repair."""
        serves = self._serves(request.term, request.sender)
        if serves and range_transfer.send_entries_since(self._core, request):
            self._update_progress(now, request.sender)

    def _serves(self, term: Term, sender: str) -> bool:
        return term == self._core.durable.promised and sender in self._learners

    def _update_progress(self, now: float, host: str) -> None:
        learner = self._learners[host]
        learner.progress_at = now
        learner.wait_until = now + LEARNER_RANGES_WAIT_S
