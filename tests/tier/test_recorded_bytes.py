"""The wire and disk formats match the bytes recorded by earlier versions (recorded/README.md)."""

import json
from dataclasses import fields
from pathlib import Path
from typing import Any

import pytest

import crowwing.tier.front.main
import crowwing.tier.operator_commands
import crowwing.tier.store.main  # noqa: F401  these three register all messages
from crowwing.tier.replication.replica import Replica, ReplicaSettings
from crowwing.tier.state.tier_state import TierState
from crowwing.tier.storage.record_file import RecordFile, decode_records, encode_record
from crowwing.tier.wire import codec
from crowwing.tier.wire.frames import encode_frame

RECORDED = Path(__file__).parent / "recorded"
MESSAGES: dict[str, list[dict[str, Any]]] = json.loads((RECORDED / "messages.json").read_text())
FRAMES: list[dict[str, Any]] = json.loads((RECORDED / "frames.json").read_text())


def to_json(value: Any) -> Any:  # noqa: ANN401
    """Converts a value to its JSON form in the recorded files, with wire names instead of classes."""
    name = codec.wire_name(type(value))
    if name is not None:
        return {"message": name, "fields": [to_json(getattr(value, x.name)) for x in fields(value)]}
    if isinstance(value, bytes):
        return {"hex": value.hex()}
    if isinstance(value, (tuple, list)):
        return [to_json(item) for item in value]
    if isinstance(value, dict):
        return {"map": [[to_json(key), to_json(item)] for key, item in value.items()]}
    return value


def test_every_message_is_recorded() -> None:
    assert codec.wire_names() >= set(MESSAGES), "a message that other versions send was removed or renamed"
    assert set(MESSAGES) >= codec.wire_names(), "record the bytes of the new message"


@pytest.mark.parametrize("name", sorted(MESSAGES))
def test_recorded_messages_are_read_and_written_as_before(name: str) -> None:
    for recorded in MESSAGES[name]:
        data = bytes.fromhex(recorded["bytes"])
        value = codec.decode(data)
        assert to_json(value) == recorded["value"]
        assert codec.wire_name(type(value)) == name
        assert codec.encode(value) == data


@pytest.mark.parametrize("recorded", FRAMES)
def test_frames_are_written_as_before(recorded: dict[str, Any]) -> None:
    data = bytes.fromhex(recorded["bytes"])
    kind, number, body = codec.decode(data[4:])
    assert (kind, number, to_json(body)) == (recorded["kind"], recorded["number"], recorded["body"])
    assert encode_frame(kind, number, body) == data


def open_recorded(path: Path) -> tuple[Replica, TierState]:
    """Restores the replica and the state from a record file."""
    state = TierState()
    replica = Replica(ReplicaSettings("m0", ("m0", "m1", "m2"), 1), state, 10.0, lambda: 0.5)
    replica.recover([codec.decode(record) for record in RecordFile(path).open()])
    return replica, state


def summary_of(replica: Replica, state: TierState) -> dict[str, Any]:
    """Returns the values that the recorded summaries contain."""
    return {
        "promised": to_json(replica.promised),
        "view": to_json(replica.view),
        "synced": to_json(replica.synced),
        "last": to_json(replica.log.last),
        "complete": replica.recovered,
        "version": state.version,
        "configuration": None if state.configuration is None else state.configuration.hex(),
        "batch_jobs": [
            [
                job.id, job.host, job.path, job.at_ms, job.total, sorted(job.open_items),
                to_json(job.results), job.failures, job.ended, job.digest.hex(),
            ]
            for job in state.jobs.values()
        ],
        "stores": state.stores,
        "retired": sorted(state.retired),
        "stored_bytes": state.stored_bytes,
        "digests": [digest.hex() for digest in state.digests()],
    }  # fmt: skip


@pytest.mark.parametrize("name", ["appended", "compacted"])
def test_a_recorded_file_opens_to_the_same_state(name: str, tmp_path: Path) -> None:
    path = tmp_path / "state.log"
    path.write_bytes((RECORDED / f"{name}.log").read_bytes())
    expected = json.loads((RECORDED / f"{name}.json").read_text())
    del expected["records"]
    assert summary_of(*open_recorded(path)) == expected
    assert path.read_bytes() == (RECORDED / f"{name}.log").read_bytes(), "opening the file must not change it"


@pytest.mark.parametrize("name", ["appended", "compacted"])
def test_a_recorded_file_is_compacted_as_before(name: str, tmp_path: Path) -> None:
    path = tmp_path / "state.log"
    path.write_bytes((RECORDED / f"{name}.log").read_bytes())
    replica, state = open_recorded(path)
    rewritten = b"".join(encode_record(codec.encode(record)) for record in replica.compacted())
    assert rewritten == (RECORDED / f"{name}.rewritten.log").read_bytes()
    again = tmp_path / "again.log"
    again.write_bytes(rewritten)
    reopened, before = summary_of(*open_recorded(again)), summary_of(replica, state)
    for summary in (reopened, before):  # a compacted file has the jobs ordered by range
        summary["batch_jobs"].sort()
    assert reopened == before


@pytest.mark.parametrize("name", ["appended", "compacted"])
def test_records_of_a_recorded_file_are_written_as_before(name: str) -> None:
    data = (RECORDED / f"{name}.log").read_bytes()
    records, size = decode_records(data)
    assert size == len(data)
    kinds: dict[str, int] = {}
    for record in records:
        value = codec.decode(record)
        assert codec.encode(value) == record
        wire_name = codec.wire_name(type(value)) or ""
        kinds[wire_name] = kinds.get(wire_name, 0) + 1
    assert kinds == json.loads((RECORDED / f"{name}.json").read_text())["records"]
