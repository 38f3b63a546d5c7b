"""The record file: every crash point between and inside its operations."""

import os
from pathlib import Path

import pytest

from crowwing.tier.storage.record_file import RecordFile, StorageError, decode_records, encode_record

RECORDS = [b"first", b"", b"third" * 50]


def test_records_come_back_in_order(tmp_path: Path) -> None:
    file = RecordFile(tmp_path / "state.log")
    assert file.open() == []
    file.append(RECORDS[:1])
    file.append(RECORDS[1:])
    file.close()
    assert RecordFile(tmp_path / "state.log").open() == RECORDS


def test_each_torn_end_keeps_all_whole_records_before_it(tmp_path: Path) -> None:
    data = b"".join(encode_record(record) for record in RECORDS)
    ends = [len(b"".join(encode_record(record) for record in RECORDS[:count])) for count in range(4)]
    for length in range(len(data) + 1):
        path = tmp_path / "state.log"
        path.write_bytes(data[:length])
        whole = sum(1 for end in ends if end <= length) - 1
        file = RecordFile(path)
        assert file.open() == RECORDS[:whole], f"cut at {length}"
        file.append([b"next"])
        file.close()
        assert RecordFile(path).open() == [*RECORDS[:whole], b"next"]


def test_a_spoiled_byte_ends_what_is_read() -> None:
    data = bytearray(b"".join(encode_record(record) for record in RECORDS))
    data[10] ^= 1
    assert decode_records(bytes(data)) == ([], 0)


def test_zeros_where_a_write_was_lost_are_no_records(tmp_path: Path) -> None:
    path = tmp_path / "state.log"
    path.write_bytes(encode_record(b"kept") + bytes(4096))
    assert RecordFile(path).open() == [b"kept"]


@pytest.mark.parametrize("kept", [0, 3, 9])
def test_a_rewrite_that_was_cut_short_leaves_the_old_content(tmp_path: Path, kept: int) -> None:
    path = tmp_path / "state.log"
    file = RecordFile(path)
    file.open()
    file.append(RECORDS)
    file.close()
    (tmp_path / "state.log.new").write_bytes(encode_record(b"replacement")[:kept])
    assert RecordFile(path).open() == RECORDS
    assert not (tmp_path / "state.log.new").exists()


def test_a_rewrite_replaces_everything(tmp_path: Path) -> None:
    path = tmp_path / "state.log"
    file = RecordFile(path)
    file.open()
    file.append(RECORDS)
    file.rewrite([b"all"])
    file.append([b"more"])
    file.close()
    assert RecordFile(path).open() == [b"all", b"more"]


def test_a_disk_that_fails_is_told_as_a_storage_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = RecordFile(tmp_path / "state.log")
    file.open()

    def fails(_: int) -> None:
        raise OSError(28, "no space left")

    monkeypatch.setattr(os, "fsync", fails)
    with pytest.raises(StorageError):
        file.append([b"lost"])


def test_what_is_appended_while_a_replacement_is_written_stands_behind_it(tmp_path: Path) -> None:
    path = tmp_path / "state.log"
    file = RecordFile(path)
    file.open()
    file.append(RECORDS)
    replacement = file.prepare([b"all"])
    file.append([b"meanwhile"])
    replacement.append([b"meanwhile", b"now"])
    file.switch(replacement)
    file.append([b"later"])
    assert file.size == path.stat().st_size
    file.close()
    assert RecordFile(path).open() == [b"all", b"meanwhile", b"now", b"later"]


def test_a_loss_of_power_while_a_replacement_is_written_keeps_the_file(tmp_path: Path) -> None:
    path = tmp_path / "state.log"
    file = RecordFile(path)
    file.open()
    file.append(RECORDS)
    file.prepare([b"all"])
    file.append([b"meanwhile"])
    file.close()
    assert RecordFile(path).open() == [*RECORDS, b"meanwhile"]
    assert not (tmp_path / "state.log.new").exists()


def test_a_replacement_that_finds_no_room_leaves_none_behind(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = RecordFile(tmp_path / "state.log")
    file.open()
    file.append(RECORDS)
    replacement = file.prepare([b"all"])

    def fails(_: int) -> None:
        raise OSError(28, "no space left")

    with monkeypatch.context() as patched:
        patched.setattr(os, "fsync", fails)
        with pytest.raises(StorageError):
            replacement.append([b"more"])
    assert not (tmp_path / "state.log.new").exists()
    file.append([b"later"])
    file.close()
    assert RecordFile(tmp_path / "state.log").open() == [*RECORDS, b"later"]


def test_a_repair_of_a_large_state_is_one_record_that_is_read_again(tmp_path: Path) -> None:
    file = RecordFile(tmp_path / "state.log")
    file.open()
    whole_state = bytes(80 * 1024 * 1024)
    file.append([b"before", whole_state, b"behind"])
    file.close()
    assert RecordFile(tmp_path / "state.log").open() == [b"before", whole_state, b"behind"]
