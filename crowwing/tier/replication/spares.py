"""Spares: store machines outside the view, without current data, that replace lost members."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from crowwing.tier.replication.log import EntryLog
from crowwing.tier.replication.messages import HeartbeatResponse
from crowwing.tier.replication.peers import NEVER
from crowwing.tier.replication.terms import LogPosition
from crowwing.tier.replication.timing import ANNOUNCEMENT_INTERVAL_S, SLOW_DISK_SYNC_S

SPARE_VALID_S = 2.5 * ANNOUNCEMENT_INTERVAL_S  # a spare that has not responded for this long is unavailable


@dataclass
class SpareStatus:
    """The status of a spare, as of its last heartbeat response.

    Attributes:
        heard_at: when the response arrived.
        last: the end of the spare's log.
        disk_sync_s: seconds that a write takes on its disk.
    """

    heard_at: float
    last: LogPosition
    disk_sync_s: float


class Spares:
    """The spares that responded to a replica as primary; survives view changes."""

    def __init__(self) -> None:
        """An empty table of spares."""
        self._statuses: dict[str, SpareStatus] = {}
        self._backoff_until: dict[str, float] = {}

    def update_status(self, now: float, response: HeartbeatResponse) -> None:
        """Updates the status of a spare from its heartbeat response."""
        self._statuses[response.sender] = SpareStatus(now, response.last, response.sync_s)

    def back_off(self, host: str, until: float) -> None:
        """Excludes a spare from being chosen before `until`."""
        self._backoff_until[host] = until

    def forget(self, hosts: Iterable[str]) -> None:
        """Removes replicas that have become members."""
        for host in hosts:
            self._statuses.pop(host, None)
            self._backoff_until.pop(host, None)

    def heard_within(self, now: float, span_s: float = SPARE_VALID_S) -> set[str]:
        """The spares that responded within the last `span_s` seconds."""
        return {host for host, status in self._statuses.items() if now - status.heard_at < span_s}

    def choose(
        self, now: float, count: int, excluded: Collection[str], log: EntryLog, zones: "ZoneSpread"
    ) -> list[str]:
        """Chooses spares that will become members.

        Spares with fast disks are preferred, then those that can catch up from the log without a range
        repair, then those in zones with the fewest members.

        Args:
            now: the current time.
            count: how many to choose at most.
            excluded: hosts that must not be chosen.
            log: the log that they have to catch up with.
            zones: the zone counts of the members; the chosen spares are added.
        """
        available = {
            host
            for host in self.heard_within(now)
            if host not in excluded and now >= self._backoff_until.get(host, NEVER)
        }
        chosen: list[str] = []
        while available and len(chosen) < count:
            best = min(available, key=lambda host: self._preference(host, log, zones))
            available.discard(best)
            chosen.append(best)
            zones.add(best)
        return chosen

    def _preference(self, host: str, log: EntryLog, zones: "ZoneSpread") -> tuple[bool, bool, int, str]:
        status = self._statuses[host]
        has_slow_disk = status.disk_sync_s >= SLOW_DISK_SYNC_S / 2
        return has_slow_disk, not log.contains(status.last), zones.count_in_zone_of(host), host


class ZoneSpread:
    """The number of replicas in each zone."""

    def __init__(self, zones: Mapping[str, str], hosts: Iterable[str]) -> None:
        """Counts `hosts`; `zones` maps replicas to zones, where known."""
        self._zones = zones
        self._counts: dict[str, int] = {}
        for host in hosts:
            self.add(host)

    def add(self, host: str) -> None:
        """Counts another replica."""
        zone = self._zones.get(host, "")
        self._counts[zone] = self._counts.get(zone, 0) + 1

    def count_in_zone_of(self, host: str) -> int:
        """The number of counted replicas in the zone of a host."""
        return self._counts.get(self._zones.get(host, ""), 0)
