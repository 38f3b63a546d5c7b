"""The record file after crashes, torn or corrupt records, and failed writes and compactions."""

import os
from pathlib import Path

import pytest

from crowwing.tier.storage.errors import StorageError
from crowwing.tier.storage.record_file import RecordFile
from crowwing.tier.storage.records import decode_records, encode_record

RECORDS = [b"first", b"", b"third" * 50]


def test_records_are_read_back_in_order(tmp_path: Path) -> None:
    file = RecordFile(tmp_path / "state.log")
    assert file.open() == []
    file.append(RECORDS[:1])
    file.append(RECORDS[1:])
    file.close()
    assert RecordFile(tmp_path / "state.log").open() == RECORDS


def test_all_complete_records_before_a_torn_one_are_kept(tmp_path: Path) -> None:
    data = b"".join(encode_record(record) for record in RECORDS)
    ends = [len(b"".join(encode_record(record) for record in RECORDS[:count])) for count in range(4)]
    for length in range(len(data) + 1):
        path = tmp_path / "state.log"
        path.write_bytes(data[:length])
        complete = sum(1 for end in ends if end <= length) - 1
        file = RecordFile(path)
        assert file.open() == RECORDS[:complete], f"cut at {length}"
        file.append([b"next"])
        file.close()
        assert RecordFile(path).open() == [*RECORDS[:complete], b"next"]


def test_reading_stops_at_a_corrupt_record() -> None:
    data = bytearray(b"".join(encode_record(record) for record in RECORDS))
    data[10] ^= 1
    assert decode_records(bytes(data)) == ([], 0)


def test_zeros_left_by_a_lost_write_are_not_read_as_records(tmp_path: Path) -> None:
    path = tmp_path / "state.log"
    path.write_bytes(encode_record(b"kept") + bytes(4096))
    assert RecordFile(path).open() == [b"kept"]


@pytest.mark.parametrize("kept", [0, 3, 9])
def test_an_interrupted_compaction_leaves_the_old_content(tmp_path: Path, kept: int) -> None:
    path = tmp_path / "state.log"
    file = RecordFile(path)
    file.open()
    file.append(RECORDS)
    file.close()
    (tmp_path / "state.log.new").write_bytes(encode_record(b"replacement")[:kept])
    assert RecordFile(path).open() == RECORDS
    assert not (tmp_path / "state.log.new").exists()


def test_a_compaction_replaces_all_records(tmp_path: Path) -> None:
    path = tmp_path / "state.log"
    file = RecordFile(path)
    file.open()
    file.append(RECORDS)
    file.compact([b"all"])
    file.append([b"more"])
    file.close()
    assert RecordFile(path).open() == [b"all", b"more"]


def test_a_failing_disk_raises_a_storage_error(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = RecordFile(tmp_path / "state.log")
    file.open()

    def fails(_: int) -> None:
        raise OSError(28, "no space left")

    monkeypatch.setattr(os, "fsync", fails)
    with pytest.raises(StorageError):
        file.append([b"lost"])


def test_records_appended_during_a_compaction_follow_the_compacted_ones(tmp_path: Path) -> None:
    path = tmp_path / "state.log"
    file = RecordFile(path)
    file.open()
    file.append(RECORDS)
    compacted = file.prepare_compaction([b"all"])
    file.append([b"meanwhile"])
    compacted.append([b"meanwhile", b"now"])
    file.install(compacted)
    file.append([b"later"])
    assert file.size == path.stat().st_size
    file.close()
    assert RecordFile(path).open() == [b"all", b"meanwhile", b"now", b"later"]


def test_a_power_failure_during_a_compaction_keeps_the_old_file(tmp_path: Path) -> None:
    path = tmp_path / "state.log"
    file = RecordFile(path)
    file.open()
    file.append(RECORDS)
    file.prepare_compaction([b"all"])
    file.append([b"meanwhile"])
    file.close()
    assert RecordFile(path).open() == [*RECORDS, b"meanwhile"]
    assert not (tmp_path / "state.log.new").exists()


def test_a_compaction_on_a_full_disk_leaves_no_file_behind(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = RecordFile(tmp_path / "state.log")
    file.open()
    file.append(RECORDS)
    compacted = file.prepare_compaction([b"all"])

    def fails(_: int) -> None:
        raise OSError(28, "no space left")

    with monkeypatch.context() as patched:
        patched.setattr(os, "fsync", fails)
        with pytest.raises(StorageError):
            compacted.append([b"more"])
    assert not (tmp_path / "state.log.new").exists()
    file.append([b"later"])
    file.close()
    assert RecordFile(tmp_path / "state.log").open() == [*RECORDS, b"later"]


def test_a_large_record_is_read_back(tmp_path: Path) -> None:
    file = RecordFile(tmp_path / "state.log")
    file.open()
    full_state = bytes(80 * 1024 * 1024)
    file.append([b"before", full_state, b"behind"])
    file.close()
    assert RecordFile(tmp_path / "state.log").open() == [b"before", full_state, b"behind"]
