"""Store machines outside of the view: they hold no current data, and replace members that are lost."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from crowwing.tier.replication.log import EntryLog
from crowwing.tier.replication.messages import HeartbeatResponse
from crowwing.tier.replication.peers import NEVER
from crowwing.tier.replication.terms import LogPosition
from crowwing.tier.replication.timing import ANNOUNCEMENT_INTERVAL_S, SLOW_DISK_SYNC_S

SPARE_VALID_S = 2.5 * ANNOUNCEMENT_INTERVAL_S  # after which a spare that does not respond counts as gone


@dataclass
class SpareStatus:
    """What a spare told in its last response to a heartbeat.

    Attributes:
        heard_at: when it came.
        last: the end of the spare's log.
        disk_sync_s: seconds that its disk takes for a write.
    """

    heard_at: float
    last: LogPosition
    disk_sync_s: float


class Spares:
    """The spares that a replica heard of as primary; kept from one of its views to the next."""

    def __init__(self) -> None:
        """No spares yet."""
        self._statuses: dict[str, SpareStatus] = {}
        self._backoff_until: dict[str, float] = {}

    def update_status(self, now: float, response: HeartbeatResponse) -> None:
        """Takes in a response to a heartbeat."""
        self._statuses[response.sender] = SpareStatus(now, response.last, response.sync_s)

    def back_off(self, host: str, until: float) -> None:
        """Chooses a spare for nothing before `until`."""
        self._backoff_until[host] = until

    def forget(self, hosts: Iterable[str]) -> None:
        """Forgets replicas that are members now."""
        for host in hosts:
            self._statuses.pop(host, None)
            self._backoff_until.pop(host, None)

    def heard_within(self, now: float, span_s: float = SPARE_VALID_S) -> set[str]:
        """The spares that responded within the last `span_s` seconds."""
        return {host for host, status in self._statuses.items() if now - status.heard_at < span_s}

    def choose(
        self, now: float, count: int, excluded: Collection[str], log: EntryLog, zones: "ZoneSpread"
    ) -> list[str]:
        """Chooses spares that are to become members.

        Those with quick disks come first, then those that the log reaches back to, then those in zones with
        the fewest members.

        Args:
            now: the present time.
            count: how many are wanted.
            excluded: hosts that are not to be chosen.
            log: the log that they are to be brought up to.
            zones: the zones of the members, to which the chosen ones are added.
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
    """How many of some replicas are in each zone."""

    def __init__(self, zones: Mapping[str, str], hosts: Iterable[str]) -> None:
        """Counts `hosts`; `zones` gives the zone of each replica that is known."""
        self._zones = zones
        self._counts: dict[str, int] = {}
        for host in hosts:
            self.add(host)

    def add(self, host: str) -> None:
        """Counts one more replica."""
        zone = self._zones.get(host, "")
        self._counts[zone] = self._counts.get(zone, 0) + 1

    def count_in_zone_of(self, host: str) -> int:
        """How many of the replicas are in the zone of a host."""
        return self._counts.get(self._zones.get(host, ""), 0)
