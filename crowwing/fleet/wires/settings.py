"""The operator file's `fleet` section as the fleet's own terms, checked beyond what a schema can say.

Milliseconds become µs here. A mistake is one line with its JSON path (BadFleet), before anything is opened.
"""

import ipaddress
from pathlib import Path
from types import SimpleNamespace

from crowwing.fleet.member import Manner
from crowwing.fleet.membership.swim import Timing
from crowwing.fleet.state.catchup import Patience
from crowwing.fleet.state.spread import Pace


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
        snapshot.check(place)
    except OSError as wrong:
        raise BadFleet(f"$.fleet.snapshot_folder: {place}: {wrong.strerror}") from None
    return place
