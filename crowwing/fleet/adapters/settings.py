"""The operator file's `fleet` section as typed settings, with checks beyond the schema.

Milliseconds become µs here. A mistake raises FleetSettingsError, one line with its JSON path, before anything
is opened.
"""

import ipaddress
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

from crowwing.fleet.member import MemberSettings
from crowwing.fleet.membership.swim import Timing
from crowwing.fleet.state.catch_up import CatchUpTiming
from crowwing.fleet.state.dissemination import DisseminationSettings
from crowwing.fleet.state.keyspaces import KEYSPACES
from crowwing.fleet.state.replica import LOCAL_FILL_LIMIT
from crowwing.fleet.uses import quota, rejection_prints

Location = tuple[str, str]  # region, zone

MAX_LOCATION_BYTES = (
    40  # of the name of a region or zone: a cell name has both, and a key, at most 160 bytes, has that
)
# Maximum size of a flat fleet whose members lend each other calls: one that starts asks all others, eight
# times in two seconds, until they have answered. The default socket buffer holds 256 answers, so in the worst
# case, if all answers of a round arrive at once, 1,000 members need four of the eight rounds; 2,000 would
# need all of them.
MAX_LENDING_MEMBERS = 1000


class FleetSettingsError(ValueError):
    """A mistake in the fleet section; one line with its JSON path in the operator file."""


def address(text: str, path: str) -> tuple[str, int]:
    """Parses `a.b.c.d:port`; FleetSettingsError for anything but an IPv4 address with a port."""
    host, _, port = text.rpartition(":")
    try:
        if not isinstance(ipaddress.ip_address(host), ipaddress.IPv4Address) or not 0 < int(port) < 65536:
            raise ValueError
    except ValueError:
        raise FleetSettingsError(f"{path}: {text!r} is not an IPv4 address with a port") from None
    return host, int(port)


def peers(fleet: SimpleNamespace, me: str) -> dict[str, tuple[str, int]]:
    """Name and address of each peer; FleetSettingsError on the first mistake."""
    found: dict[str, tuple[str, int]] = {}
    own_address = address(fleet.listen, "$.fleet.listen")
    for number, peer in enumerate(fleet.peers):
        path = f"$.fleet.peers[{number}]"
        name = peer["name"]  # items of a list stay as decoded, checked against the schema
        if name == me:
            raise FleetSettingsError(f"{path}.name: {me!r} names this backend itself")
        if name in found:
            raise FleetSettingsError(f"{path}.name: {name!r} is listed twice")
        found[name] = address(peer["address"], f"{path}.address")
        if found[name] == own_address:
            raise FleetSettingsError(f"{path}.address: is this backend's own address")
    if fleet.probe_timeout_ms >= fleet.period_ms:
        raise FleetSettingsError("$.fleet.probe_timeout_ms: must be less than period_ms")
    return found


def locations(fleet: SimpleNamespace, me: str) -> dict[str, Location] | None:
    """Region and zone of each member, this one included; None for a flat fleet, whose settings name none.
    FleetSettingsError if only some are named or a name is invalid."""
    named = [("$.fleet", me, fleet.region or None, fleet.zone or None)]
    for number, peer in enumerate(fleet.peers):
        named.append((f"$.fleet.peers[{number}]", peer["name"], peer.get("region"), peer.get("zone")))
    if not any(region or zone for _, _, region, zone in named):
        return None
    found, shared = {}, {}  # one tuple per location, not per member
    for path, name, region, zone in named:
        _check_location(f"{path}.region", region)
        _check_location(f"{path}.zone", zone)
        found[name] = shared.setdefault((region, zone), (region, zone))
    return found


def _check_location(path: str, name: str | None) -> None:
    if not name or name.isspace():
        problem = "missing" if name is None else "empty"
        raise FleetSettingsError(f"{path}: is {problem}; name region and zone for every member or for none")
    if "/" in name:
        raise FleetSettingsError(
            f"{path}: {name!r} contains a slash, which separates the parts of a cell's name"
        )
    if len(name.encode()) > MAX_LOCATION_BYTES:
        raise FleetSettingsError(f"{path}: is over {MAX_LOCATION_BYTES} bytes")


def check_size(fleet: SimpleNamespace, me: str, customers: int) -> None:
    """FleetSettingsError if a feature is switched on that a fleet of this size does not support. The result
    is the same on every member: in cells, the size checked is that of the largest cell that the settings
    allow, not of this member's cell.
    """
    size, remedy = len(fleet.peers) + 1, "name region and zone for every member: cells keep it apart"
    if (located := locations(fleet, me)) is None:
        if fleet.lends_calls and size > MAX_LENDING_MEMBERS:
            over = f"$.fleet.lends_calls: {size} members, of {MAX_LENDING_MEMBERS} at most"
            raise FleetSettingsError(f"{over}; {remedy}, or leave it off")
    else:
        size, remedy = min(fleet.cell_most, max(Counter(located.values()).values())), "lower cell_most"
    if fleet.shares_quota:
        demand = f"{customers} customers x {size} members x {quota.WINDOWS + 2} windows"
        _check_capacity("use", customers * size * (quota.WINDOWS + 2), "$.fleet.shares_quota", demand, remedy)
    if fleet.shares_prints:
        demand = f"{size} members x {rejection_prints.RING_SLOTS} slots"
        _check_capacity("turned", size * rejection_prints.RING_SLOTS, "$.fleet.shares_prints", demand, remedy)


def _check_capacity(keyspace: str, entries: int, path: str, demand: str, remedy: str) -> None:
    """FleetSettingsError if the entries exceed `LOCAL_FILL_LIMIT`, the share of a keyspace that accepts local
    writes."""
    if entries > (capacity := int(KEYSPACES[keyspace].max_entries * LOCAL_FILL_LIMIT)):
        raise FleetSettingsError(f"{path}: {demand} are over {capacity} entries; {remedy}, or leave it off")


def timing(fleet: SimpleNamespace) -> Timing:
    return Timing(
        period=fleet.period_ms * 1000, probe_timeout=fleet.probe_timeout_ms * 1000, indirect=fleet.indirect,
        suspect_periods=fleet.suspect_periods, suspect_most_times=fleet.suspect_most_times,
        revive_every=fleet.revive_every,
    )  # fmt: skip


def member_settings(fleet: SimpleNamespace) -> MemberSettings:
    """Settings of the member, with times in µs."""
    period = fleet.period_ms * 1000
    return MemberSettings(
        timing(fleet),
        DisseminationSettings(sync_every=fleet.sync_every_ms * 1000, resend_after=max(20_000, period // 4)),
        CatchUpTiming(
            max_wait=fleet.catch_up_most_ms * 1000,
            retry_delay=max(100_000, period // 2),
            isolation_timeout=3 * period,
        ),
        fleet.clock_drift_most_ms * 1000,
    )


def folder(fleet: SimpleNamespace) -> Path | None:
    """Folder of snapshots; FleetSettingsError if it is not writable."""
    if not fleet.snapshot_folder:
        return None
    from crowwing.memory import snapshot  # its library is needed only with a folder

    path = Path(fleet.snapshot_folder)
    try:
        snapshot.check_writable(path)
    except OSError as error:
        raise FleetSettingsError(f"$.fleet.snapshot_folder: {path}: {error.strerror}") from None
    return path
