"""The operator file's `fleet` section as the fleet's own terms, checked beyond what a schema can say.

Milliseconds become µs here. A mistake is one line with its JSON path (BadFleet), before anything is opened.
"""

import ipaddress
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

from crowwing.fleet.member import Manner
from crowwing.fleet.membership.swim import Timing
from crowwing.fleet.state.catch_up import Patience
from crowwing.fleet.state.dissemination import Pace
from crowwing.fleet.state.keyspaces import SPACES
from crowwing.fleet.state.replica import ROOM
from crowwing.fleet.uses import quota, rejection_prints

Place = tuple[str, str]  # region, zone

PLACE_MOST = 40  # bytes of a region's or zone's name: a cell is named after both, in keys of 160
# Members of a flat fleet that may lend each other calls: whoever starts asks all others, eight times in two
# seconds, until they have answered. The usual buffer of a socket holds 256 answers, so in the worst case, all
# of a round at once, 1,000 need four of the eight rounds; 2,000 would need all of them.
LENDERS_MOST = 1000


class BadFleet(ValueError):
    """One line, with the JSON path of the operator file."""


def address(text: str, path: str) -> tuple[str, int]:
    """`a.b.c.d:port` as a pair; BadFleet where it is none, or not IPv4."""
    host, _, port = text.rpartition(":")
    try:
        if not isinstance(ipaddress.ip_address(host), ipaddress.IPv4Address) or not 0 < int(port) < 65536:
            raise ValueError
    except ValueError:
        raise BadFleet(f"{path}: {text!r} is no IPv4 address with a port") from None
    return host, int(port)


def peers(fleet: SimpleNamespace, me: str) -> dict[str, tuple[str, int]]:
    """Each peer's name and address, checked; BadFleet on the first mistake."""
    found: dict[str, tuple[str, int]] = {}
    mine = address(fleet.listen, "$.fleet.listen")
    for number, peer in enumerate(fleet.peers):
        path = f"$.fleet.peers[{number}]"
        name = peer["name"]  # items of a list stay as decoded, checked against the schema
        if name == me:
            raise BadFleet(f"{path}.name: {me!r} names this backend itself")
        if name in found:
            raise BadFleet(f"{path}.name: {name!r} is named twice")
        found[name] = address(peer["address"], f"{path}.address")
        if found[name] == mine:
            raise BadFleet(f"{path}.address: is this backend's own")
    if fleet.probe_timeout_ms >= fleet.period_ms:
        raise BadFleet("$.fleet.probe_timeout_ms: is not under period_ms")
    return found


def places(fleet: SimpleNamespace, me: str) -> dict[str, Place] | None:
    """Where each member stands, this one among them; None where none is named: the fleet is flat. BadFleet
    where some are named and others are not, or a name cannot be one."""
    told = [("$.fleet", me, fleet.region or None, fleet.zone or None)]
    for number, peer in enumerate(fleet.peers):
        told.append((f"$.fleet.peers[{number}]", peer["name"], peer.get("region"), peer.get("zone")))
    if not any(region or zone for _, _, region, zone in told):
        return None
    found, alike = {}, {}  # one tuple a place, not one a member
    for path, name, region, zone in told:
        _check_place(f"{path}.region", region)
        _check_place(f"{path}.zone", zone)
        found[name] = alike.setdefault((region, zone), (region, zone))
    return found


def _check_place(path: str, name: str | None) -> None:
    if not name or name.isspace():
        how = "missing" if name is None else "empty"
        raise BadFleet(f"{path}: is {how}; name region and zone for every member or for none")
    if "/" in name:
        raise BadFleet(f"{path}: {name!r} has a slash, which stands between the parts of a cell's name")
    if len(name.encode()) > PLACE_MOST:
        raise BadFleet(f"{path}: is over {PLACE_MOST} bytes")


def check_size(fleet: SimpleNamespace, me: str, customers: int) -> None:
    """BadFleet where something is switched on that a fleet of this size does not carry. The same on every
    member: in cells the largest one counts that settings allow, not this member's own."""
    size, mend = len(fleet.peers) + 1, "name region and zone for every member: cells keep it apart"
    if (at := places(fleet, me)) is None:
        if fleet.lends_calls and size > LENDERS_MOST:
            over = f"$.fleet.lends_calls: {size} members, of {LENDERS_MOST} at most"
            raise BadFleet(f"{over}; {mend}, or leave it off")
    else:
        size, mend = min(fleet.cell_most, max(Counter(at.values()).values())), "lower cell_most"
    if fleet.shares_quota:
        counted = f"{customers} customers x {size} members x {quota.WINDOWS + 2} windows"
        _check_room("use", customers * size * (quota.WINDOWS + 2), "$.fleet.shares_quota", counted, mend)
    if fleet.shares_prints:
        counted = f"{size} members x {rejection_prints.RING} places"
        _check_room("turned", size * rejection_prints.RING, "$.fleet.shares_prints", counted, mend)


def _check_room(space: str, entries: int, path: str, counted: str, mend: str) -> None:
    """What is put is refused from `ROOM` of a space on."""
    if entries > (room := int(SPACES[space].most * ROOM)):
        raise BadFleet(f"{path}: {counted} are over {room} entries; {mend}, or leave it off")


def timing(fleet: SimpleNamespace) -> Timing:
    return Timing(
        period=fleet.period_ms * 1000, probe_timeout=fleet.probe_timeout_ms * 1000, indirect=fleet.indirect,
        suspect_periods=fleet.suspect_periods, suspect_most_times=fleet.suspect_most_times,
        revive_every=fleet.revive_every,
    )  # fmt: skip


def manner(fleet: SimpleNamespace) -> Manner:
    """The settings, their milliseconds in µs."""
    period = fleet.period_ms * 1000
    return Manner(
        timing(fleet),
        Pace(sync_every=fleet.sync_every_ms * 1000, again=max(20_000, period // 4)),
        Patience(most=fleet.catch_up_most_ms * 1000, again=max(100_000, period // 2), away=3 * period),
        fleet.clock_drift_most_ms * 1000,
    )


def folder(fleet: SimpleNamespace) -> Path | None:
    """Where snapshots go; BadFleet where none can be written."""
    if not fleet.snapshot_folder:
        return None
    from crowwing.memory import snapshot  # its library only where a folder is named

    place = Path(fleet.snapshot_folder)
    try:
        snapshot.check_writable(place)
    except OSError as wrong:
        raise BadFleet(f"$.fleet.snapshot_folder: {place}: {wrong.strerror}") from None
    return place
