"""Fleet settings beyond the schema: locations of members, and features that a fleet size does not support."""

import os
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace

import orjson
import pytest

from crowwing.emulator.processes import ROOT
from crowwing.fleet.adapters.settings import FleetSettingsError, check_size, locations
from crowwing.settings import operator_file

REGIONS = 5
ZONES = 11  # in all regions
NAMED = "name region and zone for every member or for none"
APART = "name region and zone for every member: cells keep it apart, or leave it off"


def section(size: int, in_cells: bool, **more: object) -> dict:
    """`n0` is this backend; in cells the members are in 11 zones of 5 regions, by turns."""

    def place(number: int) -> dict:
        zone = number % ZONES
        return {"region": f"r{zone % REGIONS}", "zone": f"z{zone}"} if in_cells else {}

    named = [
        {"name": f"n{n}", "address": f"127.1.{n // 250}.{n % 250 + 1}:7946"} | place(n)
        for n in range(1, size)
    ]
    return {"listen": "127.0.0.1:7946", "peers": named} | place(0) | more


def read(tmp_path: Path, fleet: dict) -> SimpleNamespace:
    path = tmp_path / "operator.json"
    path.write_bytes(orjson.dumps({"version": 1, "fleet": fleet}))
    return operator_file.read(path).fleet


def without(fleet: dict, number: int, field: str) -> dict:
    del fleet["peers"][number][field]
    return fleet


def changed(fleet: dict, number: int, **more: object) -> dict:
    fleet["peers"][number] |= more
    return fleet


def test_a_fleet_without_locations_is_flat(tmp_path: Path) -> None:
    assert locations(read(tmp_path, section(20, in_cells=False)), "n0") is None
    told = changed(section(20, in_cells=False), 3, region="", zone="")
    assert locations(read(tmp_path, told), "n0") is None, "an empty name is none, as the default says"


def test_each_member_has_the_location_in_the_file(tmp_path: Path) -> None:
    found = locations(read(tmp_path, section(30, in_cells=True)), "n0")
    assert len(found) == 30
    assert found["n0"] == found["n11"] == ("r0", "z0") and found["n7"] == ("r2", "z7")
    assert len(set(found.values())) == ZONES


@pytest.mark.parametrize(
    ("fleet", "line"),
    [
        (without(section(20, in_cells=True), 17, "zone"), f"$.fleet.peers[17].zone: is missing; {NAMED}"),
        (without(section(20, in_cells=True), 0, "region"), f"$.fleet.peers[0].region: is missing; {NAMED}"),
        (section(20, in_cells=True) | {"zone": ""}, f"$.fleet.zone: is missing; {NAMED}"),
        (section(20, in_cells=True) | {"region": "", "zone": ""}, f"$.fleet.region: is missing; {NAMED}"),
        (section(20, in_cells=False, region="r1"), f"$.fleet.zone: is missing; {NAMED}"),
        (section(20, in_cells=False, region="r1", zone="z"), f"$.fleet.peers[0].region: is missing; {NAMED}"),
        (section(20, in_cells=False, zone="z"), f"$.fleet.region: is missing; {NAMED}"),
        (
            changed(section(20, in_cells=False), 4, region="r1", zone="z1"),
            f"$.fleet.region: is missing; {NAMED}",
        ),
        (changed(section(20, in_cells=True), 5, zone=""), f"$.fleet.peers[5].zone: is empty; {NAMED}"),
        (changed(section(20, in_cells=True), 5, region=" "), f"$.fleet.peers[5].region: is empty; {NAMED}"),
        (section(20, in_cells=True) | {"zone": "\t"}, f"$.fleet.zone: is empty; {NAMED}"),
        (
            changed(section(20, in_cells=True), 18, zone="a/b"),
            "$.fleet.peers[18].zone: 'a/b' contains a slash, which separates the parts of a cell's name",
        ),
        (
            section(20, in_cells=True) | {"region": "/"},
            "$.fleet.region: '/' contains a slash, which separates the parts of a cell's name",
        ),
        (
            changed(section(20, in_cells=True), 2, region="é" * 21),
            "$.fleet.peers[2].region: is over 40 bytes",
        ),
    ],
)
def test_an_invalid_location_is_named_with_its_path(tmp_path: Path, fleet: dict, line: str) -> None:
    with pytest.raises(FleetSettingsError) as wrong:
        locations(read(tmp_path, fleet), "n0")
    assert str(wrong.value) == line


def test_a_location_name_of_forty_bytes_is_valid(tmp_path: Path) -> None:
    told = changed(section(20, in_cells=True), 2, region="é" * 20)
    assert locations(read(tmp_path, told), "n0")["n3"] == ("é" * 20, "z3")


@pytest.mark.parametrize(
    ("size", "in_cells", "customers", "more", "line"),
    [
        # In a flat fleet, every member counts
        (51, False, 14, {"shares_quota": True}, None),
        (
            52, False, 14, {"shares_quota": True},
            f"$.fleet.shares_quota: 14 customers x 52 members x 5 windows are over 3584 entries; {APART}",
        ),
        (56, False, 4, {"shares_prints": True}, None),
        (
            57, False, 4, {"shares_prints": True},
            f"$.fleet.shares_prints: 57 members x 16 slots are over 896 entries; {APART}",
        ),
        (1000, False, 4, {"lends_calls": True}, None),
        (
            1001, False, 4, {"lends_calls": True},
            f"$.fleet.lends_calls: 1001 members, of 1000 at most; {APART}",
        ),
        (1001, False, 4, {"teaches": True}, None),
        # In cells, the largest possible cell counts; each zone has 473 of 5,200 members
        (5200, True, 4, {"lends_calls": True}, None),
        (5200, True, 11, {"shares_quota": True}, None),
        (
            5200, True, 12, {"shares_quota": True},
            "$.fleet.shares_quota: 12 customers x 64 members x 5 windows are over 3584 entries; "
            "lower cell_most, or leave it off",
        ),
        (5200, True, 12, {"shares_quota": True, "cell_most": 32}, None),
        (
            5200, True, 4, {"shares_prints": True},
            "$.fleet.shares_prints: 64 members x 16 slots are over 896 entries; "
            "lower cell_most, or leave it off",
        ),
        (5200, True, 4, {"shares_prints": True, "cell_most": 56}, None),
        (616, True, 4, {"shares_prints": True}, None),  # 56 in each zone, the largest cell
        (
            617, True, 4, {"shares_prints": True},
            "$.fleet.shares_prints: 57 members x 16 slots are over 896 entries; "
            "lower cell_most, or leave it off",
        ),
    ],
)  # fmt: skip
def test_a_feature_is_rejected_from_the_fleet_size_that_it_does_not_support(
    tmp_path: Path, size: int, in_cells: bool, customers: int, more: dict, line: str | None
) -> None:
    fleet = read(tmp_path, section(size, in_cells, **more))
    if line is None:
        check_size(fleet, "n0", customers)
        return
    with pytest.raises(FleetSettingsError) as wrong:
        check_size(fleet, "n0", customers)
    assert str(wrong.value) == line


def test_every_member_rejects_the_same_settings(tmp_path: Path) -> None:
    """Also one in a small zone: otherwise a part of the fleet would start with it and the rest would not."""
    told = section(200, in_cells=True, shares_prints=True, cell_most=128) | {"region": "r9", "zone": "alone"}
    for peer in told["peers"]:
        peer |= {"region": "r1", "zone": "full"}
    with pytest.raises(FleetSettingsError, match="128 members x 16 slots"):
        check_size(read(tmp_path, told), "n0", 1)


def started(tmp_path: Path, fleet: dict, customers: int) -> tuple[int, bytes, list[str]]:
    """Runs the real command with the example's configuration for so many customers; drops the file's path."""
    path, told_at = tmp_path / "operator.json", tmp_path / "configuration.json"
    path.write_bytes(orjson.dumps({"version": 1, "fleet": fleet}))
    told = orjson.loads((ROOT / "deploy" / "example.json").read_bytes())
    told["settings"]["realms"] = [{"name": f"c{n}", "quota_per_s": 9} for n in range(customers)]
    told_at.write_bytes(orjson.dumps(told))
    environment = os.environ | {
        "PROXY_CONFIG": str(told_at), "PROXY_NAME": "n0",
        "CROWWING_OPERATOR": str(path), "PYTHONPATH": str(ROOT),
    }  # fmt: skip
    command = [sys.executable, "-O", "-m", "crowwing"]
    ended = subprocess.run(command, env=environment, capture_output=True, timeout=30, cwd=ROOT, check=False)
    return ended.returncode, ended.stdout, ended.stderr.decode().replace(f"{path}: ", "").splitlines()


@pytest.mark.parametrize(
    ("fleet", "line"),
    [
        (without(section(20, in_cells=True), 17, "zone"), f"$.fleet.peers[17].zone: is missing; {NAMED}"),
        (
            section(1001, in_cells=False, lends_calls=True),
            f"$.fleet.lends_calls: 1001 members, of 1000 at most; {APART}",
        ),
        (
            section(5200, in_cells=True, shares_quota=True, cell_most=128),
            "$.fleet.shares_quota: 6 customers x 128 members x 5 windows are over 3584 entries; "
            "lower cell_most, or leave it off",
        ),
        (section(20, in_cells=True, cell_most=7), "$.fleet.cell_most: is less than 8"),
    ],
)
def test_the_real_command_prints_one_line_and_exits_with_2(tmp_path: Path, fleet: dict, line: str) -> None:
    assert started(tmp_path, fleet, customers=6) == (2, b"", [f"crowwing: {line}"])
