"""Runs a seeded script of requests and faults on several real backends and checks the history at the end.

`make_plan` derives all requests and faults from one seed. At most a minority of members is unavailable at a
time, and a member that lost its memory has caught up before another loses its own: acknowledgements are
guaranteed under these conditions (docs/replication.md). Every fault has ended `seconds` after the start. A
run leaves `play.json` (seed, size, script), the members' logs, `history.jsonl` and `found.json` in its
folder; `replay` runs the same plan again.
"""

import socket
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random

import orjson

from crowwing.emulator.fleet import history_check
from crowwing.emulator.fleet.process_fleet import HOST, ProcessFleet

FAST = {
    "period_ms": 200, "probe_timeout_ms": 60, "sync_every_ms": 250, "catch_up_most_ms": 3000,
    "snapshot_every_ms": 300,
}  # fmt: skip
REQUEST_INTERVAL_S, ACK_TIMEOUT_MS = 0.06, 1500
CONVERGENCE_TIMEOUT_S = 10.0
LINK_FAULTS = ("cut", "one_way", "loss", "delay", "duplicate", "reorder")
PROCESS_FAULTS = ("pause", "kill", "wipe")  # wipe: killed, and its disk erased


def make_plan(seed: int, size: int, seconds: float) -> dict:
    """Returns the plan of one run; only timing on the machine adds to it."""
    rng = Random(f"{seed}/play")
    names = [f"m{n}" for n in range(size)]
    requests, at = [], 0.0
    while at < seconds:
        key = rng.choice(["said", "said", "mark"])
        operation = "put" if key == "said" else rng.choice(["add", "add", "take_out"])
        requests.append(
            {
                "at_s": round(at, 3),
                "of": rng.choice(names),
                "k": operation,
                "key": f"{key}/{rng.randrange(12)}",
            }
        )
        at += REQUEST_INTERVAL_S * (0.5 + rng.random())
    faults, at, stopped_until = [], 0.5, 0.0
    while at < seconds - 1.0:
        span = round(min(0.4 + 2.0 * rng.random(), seconds - at), 3)
        kind = rng.choice(LINK_FAULTS + PROCESS_FAULTS)
        fault = {"at_s": round(at, 3), "for_s": span, "kind": kind}
        if kind in PROCESS_FAULTS:
            if at >= stopped_until:  # one member at a time
                faults.append(fault | {"of": rng.choice(names)})
                stopped_until = at + span + 0.5
        else:
            members = sorted(rng.sample(names, rng.randint(1, size // 2)))
            faults.append(fault | {"few": members, "size": _size(kind, rng), "jitter_ms": 40})
        at += 0.3 + 1.2 * rng.random()
    offsets = {name: rng.randint(-2000, 2000) for name in names}
    return {
        "seed": seed,
        "size": size,
        "seconds": seconds,
        "asks": requests,
        "faults": faults,
        "offsets": offsets,
    }


def _size(kind: str, rng: Random) -> float:
    if kind == "delay":
        return round(80 * rng.random(), 1)
    return round(0.05 + 0.35 * rng.random(), 2) if kind != "cut" else 1.0


def relay_faults(fault: dict, names: list[str]) -> list[dict]:
    """Converts a fault between members to the relay's format."""
    members, others = fault["few"], [name for name in names if name not in fault["few"]]
    template = {"kind": "cut" if fault["kind"] == "one_way" else fault["kind"], "size": fault["size"]}
    template["jitter_ms"] = fault["jitter_ms"]
    directions = [template | {"from": members, "to": others}]
    return (
        directions
        if fault["kind"] == "one_way"
        else [*directions, template | {"from": others, "to": members}]
    )


class FaultRun:
    """One run of a plan; every process it starts has ended when `run` returns or raises."""

    def __init__(self, folder: Path, plan: dict, **fleet: object) -> None:
        self.folder, self.plan = folder, plan
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "play.json").write_bytes(orjson.dumps(plan | {"fleet": fleet}, option=orjson.OPT_INDENT_2))
        self.rig = ProcessFleet(folder, plan["size"], plan["seed"], [], **(FAST | fleet))
        self.history: list[dict] = []
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((HOST, 0))
        self.socket.setblocking(False)
        self.number = 0

    def record(self, event: str, **fields: object) -> None:
        self.history.append({"at": time.time_ns() // 1000, "event": event, **fields})

    def run(self) -> history_check.Found:
        for name in self.rig.names:
            (self.folder / f"disk-{name}").mkdir(exist_ok=True)
        self.rig.operator_overrides = {
            name: {
                "clock_offset_ms": self.plan["offsets"][name],
                "snapshot_folder": str(self.folder / f"disk-{name}"),
            }
            for name in self.rig.names
        }
        try:
            with self.rig:
                everyone = set(self.rig.names)
                if (
                    self.rig.until(lambda: all(self.rig.alive_in(n) == everyone for n in everyone), 30)
                    is None
                ):
                    raise TimeoutError("the members did not discover each other within 30 s")
                self._run_schedule()
                found = self._wait_for_convergence()
        finally:
            self.socket.close()
            lines = b"".join(orjson.dumps(line) + b"\n" for line in self.history)
            (self.folder / "history.jsonl").write_bytes(lines)
        (self.folder / "found.json").write_bytes(orjson.dumps(found._asdict(), option=orjson.OPT_INDENT_2))
        return found

    def _run_schedule(self) -> None:
        began = time.monotonic()
        for at, action, argument in self._schedule():
            while (left := began + at - time.monotonic()) > 0:
                time.sleep(min(left, 0.02))
                self._read_responses()
            action(argument)

    def _schedule(self) -> Iterator[tuple]:
        """Yields (seconds, action, argument) in order, including the ends of faults."""
        events = [(request["at_s"], self._send_request, request) for request in self.plan["asks"]]
        for fault in self.plan["faults"]:
            events.append((fault["at_s"], self._start_fault, fault))
            events.append((fault["at_s"] + fault["for_s"], self._end_fault, fault))
        return iter(sorted(events, key=lambda event: event[0]))

    def _send_request(self, request: dict) -> None:
        self.number += 1
        message = {"k": request["k"], "key": request["key"], "wait_ms": ACK_TIMEOUT_MS, "n": self.number}
        if request["k"] == "put":
            message["value"] = self.number
        self.record("asked", of=request["of"], **message)
        self.socket.sendto(orjson.dumps(message), self.rig.fleet_addresses[request["of"]])

    def _read_responses(self) -> None:
        while True:
            try:
                response = orjson.loads(self.socket.recv(65536))
            except BlockingIOError:
                return
            except OSError:
                continue  # the member is down at the moment
            self.record(
                "answered", acked=bool(response.get("acked")), rows=response.get("rows", []), n=response["n"]
            )

    def _start_fault(self, fault: dict) -> None:
        kind = fault["kind"]
        if kind in PROCESS_FAULTS and kind != "pause" and not self._all_caught_up():
            kind = "pause"  # another member has not caught up yet, so this one has to keep its memory
        fault["as"] = kind
        self.record("fault", **fault)
        if kind == "pause":
            self.rig.pause(fault["of"])
        elif kind in PROCESS_FAULTS:
            self.rig.kill(fault["of"])
            if kind == "wipe":
                for file in (self.folder / f"disk-{fault['of']}").iterdir():
                    file.unlink()
        else:
            fault["on"] = self.rig.relay.impose(relay_faults(fault, self.rig.names))

    def _end_fault(self, fault: dict) -> None:
        if fault["as"] == "pause":
            self.rig.resume(fault["of"])
        elif fault["as"] in PROCESS_FAULTS:
            self.rig.launch(fault["of"])
        else:
            self.rig.relay.lift(fault.pop("on"))
        self.record("healed", kind=fault["kind"], of=fault.get("of"))

    def _all_caught_up(self) -> bool:
        views = [self.rig.view(name, 0.2) for name in self.rig.names]
        return all(view is not None and view["whole"] for view in views)

    def _stored_rows(self) -> dict[str, list] | None:
        """Returns the operators' entries of every member; None if one does not answer."""
        stored = {}
        for name in self.rig.names:
            pages = [self.rig.state(name, prefix) for prefix in ("said/", "mark/")]
            if any(page is None for page in pages):
                return None
            stored[name] = [row for page in pages for row in page["rows"]]
        return stored

    def _wait_for_convergence(self) -> history_check.Found:
        began, stored = time.monotonic(), None
        converged = None
        while converged is None and time.monotonic() - began < CONVERGENCE_TIMEOUT_S:
            time.sleep(0.05)
            self._read_responses()
            stored = self._stored_rows()
            if stored is not None and not history_check.differing(stored):
                converged = round(time.monotonic() - began, 2)
        time.sleep(ACK_TIMEOUT_MS / 1000)  # by then the last requests have been answered
        self._read_responses()
        self.rig.until(lambda: (self._stored_rows() or {}).keys() == set(self.rig.names), 5)
        return history_check.check(self.history, self._stored_rows() or stored or {}, converged)


def replay(folder: Path, into: Path) -> history_check.Found:
    """Repeats the run that is stored in a folder; ValueError if there is none."""
    try:
        plan = orjson.loads((folder / "play.json").read_bytes())
    except (OSError, orjson.JSONDecodeError) as error:
        raise ValueError(f"{folder / 'play.json'}: {error}") from None
    fleet = plan.pop("fleet")
    return FaultRun(into, plan, **fleet).run()
