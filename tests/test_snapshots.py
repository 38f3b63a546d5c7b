"""Snapshots on disk: a kill during a write never leaves a file that passes the check with wrong contents."""

import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from crowwing.emulator.processes import ROOT
from crowwing.memory import snapshot

WRITER = """
import sys
from pathlib import Path
from crowwing.memory import snapshot
print("up", flush=True)
n = 0
while True:
    n += 1
    rows = [[f"said/{k}", n, n, 0, "m1", n] for k in range(200)]
    snapshot.write(Path(sys.argv[1]), snapshot.pack(snapshot.Snapshot("m1", n, rows)), "m1")
"""


def written(folder: Path, value: int = 1) -> bytes:
    data = snapshot.pack(snapshot.Snapshot("m1", value, [["said/x", value, 1, 0, "m1", 9]]))
    snapshot.write(folder, data, "m1")
    return data


def test_a_kill_at_any_moment_of_a_write_leaves_a_complete_snapshot(tmp_path: Path) -> None:
    rng, last = random.Random(3), 0
    for _ in range(25):
        command = [sys.executable, "-c", WRITER, str(tmp_path)]
        with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) as writer:
            assert writer.stdout.readline()
            time.sleep(0.005 + rng.random() * 0.03)
            os.kill(writer.pid, signal.SIGKILL)
        found = snapshot.read(tmp_path, "m1")
        if found is not None:
            assert {row[1] for row in found.rows} == {found.at} and len(found.rows) == 200
            last = found.at
    assert last > 0


@pytest.mark.parametrize("seed", range(4))
def test_a_truncated_or_corrupted_file_is_reported_and_not_used(tmp_path: Path, seed: int) -> None:
    data, rng = written(tmp_path), random.Random(seed)
    path = snapshot.path_of(tmp_path, "m1")
    for offset in range(len(data)):
        path.write_bytes(data[:offset])
        with pytest.raises(snapshot.UnusableSnapshotError, match=path.name):
            snapshot.read(tmp_path, "m1")
        corrupted = bytearray(data)
        corrupted[offset] ^= 1 << rng.randrange(8)
        path.write_bytes(corrupted)
        with pytest.raises(snapshot.UnusableSnapshotError):
            snapshot.read(tmp_path, "m1")


def test_a_file_of_another_member_version_or_kind_is_not_used(tmp_path: Path) -> None:
    data = written(tmp_path)
    path = snapshot.path_of(tmp_path, "m2")
    path.write_bytes(data)
    with pytest.raises(snapshot.UnusableSnapshotError, match="belongs to m1"):
        snapshot.read(tmp_path, "m2")
    path.write_bytes(data[:4] + (9).to_bytes(4, "little") + data[8:])
    with pytest.raises(snapshot.UnusableSnapshotError, match="format version 9, expected 1"):
        snapshot.read(tmp_path, "m2")
    path.write_bytes(b"something else that happens to be long enough")
    with pytest.raises(snapshot.UnusableSnapshotError, match="not a snapshot file"):
        snapshot.read(tmp_path, "m2")
    path.unlink()
    assert snapshot.read(tmp_path, "m2") is None


def test_member_names_that_are_no_file_names_stay_in_the_folder_and_apart(tmp_path: Path) -> None:
    paths = {snapshot.path_of(tmp_path, name) for name in ("a/b", "a_b", "../a", "a")}
    assert len(paths) == 4 and all(path.parent == tmp_path for path in paths)


def test_a_failed_write_leaves_the_previous_snapshot(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    written(tmp_path, 1)

    def disk_full(_: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", disk_full)
    with pytest.raises(OSError, match="No space"):
        written(tmp_path, 2)
    assert snapshot.read(tmp_path, "m1").at == 1
