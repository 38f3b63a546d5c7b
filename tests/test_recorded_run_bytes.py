"""Stored data and wire formats of a backend match recordings of earlier versions (recorded/README.md)."""

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import pytest

from crowwing.fleet.adapters import full_transfer
from crowwing.memory import snapshot
from crowwing.protocol import control_plane, downstream, sidecar, worker_agent
from crowwing.protocol.arrival import Arrival
from crowwing.protocol.reply import Reply, ReplyReader
from crowwing.settings import operator, operator_file
from crowwing.tier.configuration import Configuration, parse_configuration
from crowwing.tier.settings import Settings, read_settings
from tests.fleet_transcripts import Backend, Clock

RECORDED = Path(__file__).parent / "recorded"
ROOT = Path(__file__).resolve().parents[1]
SCHEMAS = ("crowwing/settings/operator.schema.json", "deploy/operator.schema.json")
LOOPBACK = "127.0.0.1"
FetchedTransfer = tuple[list[Any], str, list[Any] | None]  # address, request line, rows or None if refused
NOTICES = {
    "greeting": worker_agent.Greeting,
    "aside": worker_agent.Aside,
    "request": worker_agent.CallRequested,
    "outcome": worker_agent.RunEnded,
    "sampled": worker_agent.Sampled,
    "exercised": worker_agent.Exercised,
    "refusal": worker_agent.Refusal,
}
COMMANDS: dict[str, Callable[..., bytes]] = {
    "subscribe": worker_agent.subscribe,
    "launch": worker_agent.launch,
    "freeze": worker_agent.freeze,
    "deliver": worker_agent.deliver,
    "sample": worker_agent.sample,
    "exercise": worker_agent.exercise,
}
REQUESTS = {"ticket": Arrival, "check": sidecar.HealthCheck, "bad": sidecar.BadRequest}
ANSWERS: dict[str, Callable[..., bytes]] = {
    "settled": sidecar.encode_completed,
    "dismissed": sidecar.encode_rejected,
    "forfeited": sidecar.encode_failed,
    "checked": sidecar.encode_health,
    "turned_down": sidecar.encode_bad_request,
}


def recorded(name: str) -> dict[str, Any]:
    values: dict[str, Any] = json.loads((RECORDED / name).read_text())
    return values


def to_json(value: Any) -> Any:  # noqa: ANN401  any value of a recorded file
    if isinstance(value, bytes):
        return {"latin-1": value.decode("latin-1")}
    if isinstance(value, tuple):
        return [to_json(item) for item in value]
    return value


def from_json(value: Any) -> Any:  # noqa: ANN401  any value of a recorded file
    if isinstance(value, dict):
        return value["latin-1"].encode("latin-1")
    return value


def pieces(data: bytes, size: int) -> list[memoryview]:
    return [memoryview(bytearray(data[begin : begin + size])) for begin in range(0, len(data), size)]


SIZES = pytest.mark.parametrize("size", [1, 7, 1 << 20], ids=["bytes", "pieces", "at_once"])


# Snapshots


@pytest.mark.parametrize("expected", recorded("snapshots.json")["snapshots"], ids=lambda x: x["who"])
def test_a_recorded_snapshot_is_read_and_written_as_before(expected: dict[str, Any], tmp_path: Path) -> None:
    data = bytes.fromhex(expected["bytes"])
    (tmp_path / expected["file"]).write_bytes(data)
    found = snapshot.read(tmp_path, expected["who"])
    assert found is not None
    assert (found.who, found.at, found.rows) == (expected["who"], expected["at"], expected["rows"])
    assert snapshot.pack(found) == data
    snapshot.write(tmp_path, data, expected["who"])
    assert [path.name for path in tmp_path.iterdir()] == [expected["file"]]
    assert (tmp_path / expected["file"]).read_bytes() == data


# Datagrams and streams of the fleet


@pytest.mark.parametrize("name", ["fleet_flat.json", "fleet_in_cells.json"])
def test_a_recorded_member_sends_the_same_datagrams(name: str, tmp_path: Path) -> None:
    transcript = recorded(name)
    clock = Clock()
    backend = Backend(transcript["me"], transcript["fleet"], clock, tmp_path)
    for number, step in enumerate(transcript["steps"]):
        clock.now_us = step["at_us"]
        expected = iter(step["fetched"])

        async def fetch(
            where: tuple[str, int],
            asked: dict[str, Any],
            _: float,
            expected: Any = expected,  # noqa: ANN401
        ) -> list[Any]:
            address, line, rows = cast(FetchedTransfer, next(expected))
            assert [list(where), asked] == [address, json.loads(line)]
            if rows is None:
                raise ConnectionRefusedError
            return rows

        assert backend.apply(step["input"], fetch) == step["sent"], f"step {number}"
        assert next(expected, None) is None, f"step {number}: made fewer full transfers than recorded"


def kinds_of(texts: list[str]) -> set[Any]:
    """The kinds of messages (numbers) and of queries (names); an answer has none."""
    return {json.loads(text).get("k") for text in texts if text.startswith("{")}


def test_recorded_transcripts_contain_every_kind_of_message() -> None:
    """Of membership (0-3), state (10-15), loans (20-23) and keys (30-33), and every query."""
    received: list[str] = []
    sent: list[str] = []
    for name in ("fleet_flat.json", "fleet_in_cells.json"):
        for step in recorded(name)["steps"]:
            received += step["input"][1:2] if step["input"][0] == "datagram" else []
            sent += [text for text, _ in step["sent"]]
    messages = {*range(4), *range(10, 16), *range(20, 24), *range(30, 34)}
    queries = {"members", "counts", "state", "put", "add", "take_out", "claim", "over", "never_ran"}
    assert kinds_of(sent) == {*messages, None}
    assert kinds_of(received) == {*messages, *queries, "nonsense"}


@pytest.mark.parametrize("number", range(len(recorded("fleet_streams.json")["streams"])))
def test_a_recorded_full_transfer_is_sent_and_read_as_before(number: int) -> None:
    stream = recorded("fleet_streams.json")["streams"][number]
    asyncio.run(_check_served(stream))
    asyncio.run(_check_fetched(stream))


async def _check_served(stream: dict[str, Any]) -> None:
    """The server answers the recorded line with the recorded bytes."""
    asked: list[dict[str, Any]] = []

    def missing(_: str, digests: dict[str, Any]) -> list[Any]:
        asked.append(digests)
        return cast(list[Any], stream["rows"])

    server = full_transfer.Server(missing, lambda _: True)
    await server.open((LOOPBACK, 0))
    assert server.server is not None
    reader, writer = await asyncio.open_connection(*server.server.sockets[0].getsockname())
    writer.write(stream["asked"].encode() + b"\n")
    answer = await reader.read()
    writer.close()
    server.close()
    assert asked == [json.loads(stream["asked"])]
    assert answer.decode() == stream["answer"]


async def _check_fetched(stream: dict[str, Any]) -> None:
    """The client sends the recorded line and reads the recorded bytes."""
    lines: list[bytes] = []

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        lines.append(await reader.readline())
        writer.write(stream["answer"].encode())
        writer.close()

    server = await asyncio.start_server(answer, LOOPBACK, 0)
    rows = await full_transfer.fetch(server.sockets[0].getsockname(), json.loads(stream["asked"]), 5.0)
    server.close()
    assert rows == stream["rows"]
    assert lines == [stream["asked"].encode() + b"\n"]


# Lines of the worker agent


@SIZES
@pytest.mark.parametrize("expected", recorded("agent.json")["notices"], ids=lambda x: x["line"].strip())
def test_recorded_notices_are_read_as_before(expected: dict[str, Any], size: int) -> None:
    reader = worker_agent.AgentReader()
    data = expected["line"].encode("latin-1")
    found = [notice for piece in pieces(data, size) for notice in reader.feed(piece)]
    assert [to_json(tuple(notice)) for notice in found] == [expected["value"]]
    assert type(found[0]) is NOTICES[expected["line"].split()[0]]


@pytest.mark.parametrize("line", recorded("agent.json")["unreadable"])
def test_recorded_invalid_agent_lines_are_rejected_as_before(line: str) -> None:
    with pytest.raises(worker_agent.ProtocolError):
        worker_agent.AgentReader().feed(memoryview(line.encode("latin-1")))


@pytest.mark.parametrize("expected", recorded("agent.json")["commands"], ids=lambda x: x["command"])
def test_commands_are_written_as_before(expected: dict[str, Any]) -> None:
    arguments = [from_json(argument) for argument in expected["arguments"]]
    assert COMMANDS[expected["command"]](*arguments) == expected["line"].encode("latin-1")


# HTTP with sidecars, the downstream and the control plane


@pytest.mark.parametrize("number", range(len(recorded("sidecar.json")["requests"])))
def test_recorded_requests_of_sidecars_are_read_as_before(number: int) -> None:
    """Fed byte by byte, in small chunks, and at once."""
    expected = recorded("sidecar.json")["requests"][number]
    data = expected["request"].encode("latin-1")
    for outcome in expected["read"]:
        reader = sidecar.SidecarReader()
        found = [value for piece in pieces(data, outcome["size"]) for value in reader.feed(piece)]
        assert [to_json(tuple(value)) for value in found] == [value for _, value in outcome["found"]]
        assert [type(value) for value in found] == [REQUESTS[kind] for kind, _ in outcome["found"]]
        assert reader.closed == outcome["dead"]


@pytest.mark.parametrize("expected", recorded("sidecar.json")["answers"], ids=lambda x: x["answer"])
def test_answers_to_sidecars_are_written_as_before(expected: dict[str, Any]) -> None:
    arguments = [from_json(argument) for argument in expected["arguments"]]
    assert ANSWERS[expected["answer"]](*arguments) == expected["bytes"].encode("latin-1")


@SIZES
@pytest.mark.parametrize("number", range(len(recorded("backend_and_control.json")["replies"])))
def test_recorded_replies_are_read_as_before(number: int, size: int) -> None:
    expected = recorded("backend_and_control.json")["replies"][number]
    reader = ReplyReader()
    found: Reply | None = None
    for piece in pieces(expected["reply"].encode("latin-1"), size):
        found = reader.feed(piece) or found
    assert (found is None) == expected["by_end"]
    found = found or reader.end()
    assert found is not None
    assert to_json(tuple(found)) == expected["value"]
    assert reader.reusable == expected["reusable"]
    assert downstream.classify_reply(found).name == expected["outcome"]
    assert control_plane.is_acknowledged(found) == expected["counted"]


def test_calls_and_reports_are_written_as_before() -> None:
    expected = recorded("backend_and_control.json")
    for call in expected["calls"]:
        assert downstream.encode_call(*map(from_json, call["arguments"])) == call["bytes"].encode("latin-1")
    for report in expected["reports"]:
        assert control_plane.encode_report(*report["arguments"]) == report["bytes"].encode("latin-1")


# Operator file


@pytest.mark.parametrize("path", SCHEMAS)
def test_the_schema_of_the_operator_file_is_as_before(path: str) -> None:
    assert (ROOT / path).read_bytes() == (RECORDED / "operator.schema.json").read_bytes()


def test_the_schema_matches_the_types_and_what_a_backend_reads() -> None:
    assert operator.schema() == (RECORDED / "operator.schema.json").read_bytes()
    assert operator_file.load_schema() == recorded("operator.schema.json")


# Settings and configuration of the tier


@pytest.mark.parametrize("name", ["settings_full", "settings_least"])
def test_recorded_settings_of_the_tier_are_read_as_before(name: str) -> None:
    expected = recorded("tier_values.json")
    found = read_settings(str(RECORDED / f"{name}.toml"))
    assert isinstance(found, Settings)
    assert found.model_dump(mode="json", by_alias=True) == expected[name]
    derived = {
        "internal_port": found.internal_port,
        "seed_hosts": list(found.seed_hosts),
        "store_machines": found.fault_tolerance.store_machines,
    }
    assert derived == expected[f"{name}_derived"]


@pytest.mark.parametrize("name", ["configuration_full", "configuration_least"])
def test_a_recorded_configuration_of_the_tier_is_read_as_before(name: str) -> None:
    found = parse_configuration((RECORDED / f"{name}.json").read_bytes())
    assert isinstance(found, Configuration)
    assert found.model_dump(mode="json", by_alias=True) == recorded("tier_values.json")[name]


def values_by_name(tree: Any, name: str = "") -> dict[str, set[str]]:  # noqa: ANN401  any JSON
    """Every value of a tree in JSON, by its path without the positions in lists."""
    found: dict[str, set[str]] = {name: {json.dumps(tree)}}
    children: list[tuple[str, Any]] = []
    if isinstance(tree, dict):
        children = [(f"{name}.{key}", item) for key, item in tree.items()]
    elif isinstance(tree, list):
        children = [(name, item) for item in tree]
    for path, item in children:
        for below_path, values in values_by_name(item, path).items():
            found.setdefault(below_path, set()).update(values)
    return found


@pytest.mark.parametrize("name", ["settings", "configuration"])
def test_the_full_recorded_values_use_every_alias(name: str) -> None:
    """The full form gives each name a value other than its default, which shows that each is read."""
    values = recorded("tier_values.json")
    full, least = values_by_name(values[f"{name}_full"]), values_by_name(values[f"{name}_least"])
    assert [path for path, defaults in least.items() if not full[path] - defaults] == []
