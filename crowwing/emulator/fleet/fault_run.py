"""A seeded script of asks and faults, played on several real backends, its history checked at the end.

`plan` is pure: what is asked of whom, and what breaks, all from one seed. At most a minority is away at a
time, and a member that lost its memory has caught up before another loses its own: that is what an
acknowledgement promises (docs/replication.md). Everything is healed `seconds` after the start. A run leaves
`play.json` (seed, size, script), the members' logs, `history.jsonl` and `found.json` in its folder; `replay`
plays the same again.
"""

import socket
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random

import orjson

from crowwing.emulator.fleet import history_check
from crowwing.emulator.fleet.process_fleet import HOST, FleetRig

FAST = {
    "period_ms": 200, "probe_timeout_ms": 60, "sync_every_ms": 250, "catch_up_most_ms": 3000,
    "snapshot_every_ms": 300,
}  # fmt: skip
ASK_EVERY_S, WAIT_MS = 0.06, 1500
CONVERGE_S = 10.0
LINKS = ("cut", "one_way", "loss", "delay", "duplicate", "reorder")
STOPS = ("pause", "kill", "wipe")  # wipe: killed, and its disk lost


def plan(seed: int, size: int, seconds: float) -> dict:
    """Everything of one run but what chance on the machine adds."""
    chance = Random(f"{seed}/play")
    names = [f"m{n}" for n in range(size)]
    asks, at = [], 0.0
    while at < seconds:
        key = chance.choice(["said", "said", "mark"])
        how = "put" if key == "said" else chance.choice(["add", "add", "take_out"])
        asks.append(
            {
                "at_s": round(at, 3),
                "of": chance.choice(names),
                "k": how,
                "key": f"{key}/{chance.randrange(12)}",
            }
        )
        at += ASK_EVERY_S * (0.5 + chance.random())
    faults, at, stopped_until = [], 0.5, 0.0
    while at < seconds - 1.0:
        span = round(min(0.4 + 2.0 * chance.random(), seconds - at), 3)
        kind = chance.choice(LINKS + STOPS)
        fault = {"at_s": round(at, 3), "for_s": span, "kind": kind}
        if kind in STOPS:
            if at >= stopped_until:  # one member at a time
                faults.append(fault | {"of": chance.choice(names)})
                stopped_until = at + span + 0.5
        else:
            few = sorted(chance.sample(names, chance.randint(1, size // 2)))
            faults.append(fault | {"few": few, "size": _size(kind, chance), "jitter_ms": 40})
        at += 0.3 + 1.2 * chance.random()
    offsets = {name: chance.randint(-2000, 2000) for name in names}
    return {
        "seed": seed,
        "size": size,
        "seconds": seconds,
        "asks": asks,
        "faults": faults,
        "offsets": offsets,
    }


def _size(kind: str, chance: Random) -> float:
    if kind == "delay":
        return round(80 * chance.random(), 1)
    return round(0.05 + 0.35 * chance.random(), 2) if kind != "cut" else 1.0


def on_links(fault: dict, names: list[str]) -> list[dict]:
    """A fault between members as the relay takes it."""
    few, rest = fault["few"], [name for name in names if name not in fault["few"]]
    told = {"kind": "cut" if fault["kind"] == "one_way" else fault["kind"], "size": fault["size"]}
    told["jitter_ms"] = fault["jitter_ms"]
    ways = [told | {"from": few, "to": rest}]
    return ways if fault["kind"] == "one_way" else [*ways, told | {"from": rest, "to": few}]


class Play:
    """One run of a plan; every process it starts has ended when `run` returns or raises."""

    def __init__(self, folder: Path, told: dict, **fleet: object) -> None:
        self.folder, self.told = folder, told
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "play.json").write_bytes(orjson.dumps(told | {"fleet": fleet}, option=orjson.OPT_INDENT_2))
        self.rig = FleetRig(folder, told["size"], told["seed"], [], **(FAST | fleet))
        self.history: list[dict] = []
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((HOST, 0))
        self.socket.setblocking(False)
        self.number = 0

    def note(self, event: str, **brings: object) -> None:
        self.history.append({"at": time.time_ns() // 1000, "event": event, **brings})

    def run(self) -> history_check.Found:
        for name in self.rig.names:
            (self.folder / f"disk-{name}").mkdir(exist_ok=True)
        self.rig.operator_of = {
            name: {
                "clock_offset_ms": self.told["offsets"][name],
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
                    raise TimeoutError("the members did not find each other")
                self._play()
                found = self._settle()
        finally:
            self.socket.close()
            lines = b"".join(orjson.dumps(line) + b"\n" for line in self.history)
            (self.folder / "history.jsonl").write_bytes(lines)
        (self.folder / "found.json").write_bytes(orjson.dumps(found._asdict(), option=orjson.OPT_INDENT_2))
        return found

    def _play(self) -> None:
        began = time.monotonic()
        for at, what, told in self._moments():
            while (left := began + at - time.monotonic()) > 0:
                time.sleep(min(left, 0.02))
                self._answers()
            what(told)

    def _moments(self) -> Iterator[tuple]:
        """(s, what to do, with what), in order; the ends of faults among them."""
        moments = [(ask["at_s"], self._ask, ask) for ask in self.told["asks"]]
        for fault in self.told["faults"]:
            moments.append((fault["at_s"], self._begin, fault))
            moments.append((fault["at_s"] + fault["for_s"], self._end, fault))
        return iter(sorted(moments, key=lambda moment: moment[0]))

    def _ask(self, ask: dict) -> None:
        self.number += 1
        told = {"k": ask["k"], "key": ask["key"], "wait_ms": WAIT_MS, "n": self.number}
        if ask["k"] == "put":
            told["value"] = self.number
        self.note("asked", of=ask["of"], **told)
        self.socket.sendto(orjson.dumps(told), self.rig.fleet_at[ask["of"]])

    def _answers(self) -> None:
        while True:
            try:
                told = orjson.loads(self.socket.recv(65536))
            except BlockingIOError:
                return
            except OSError:
                continue  # nobody listens there just now
            self.note("answered", acked=bool(told.get("acked")), rows=told.get("rows", []), n=told["n"])

    def _begin(self, fault: dict) -> None:
        kind = fault["kind"]
        if kind in STOPS and kind != "pause" and not self._all_whole():
            kind = "pause"  # another is without its memory: this one keeps its own
        fault["as"] = kind
        self.note("fault", **fault)
        if kind == "pause":
            self.rig.pause(fault["of"])
        elif kind in STOPS:
            self.rig.kill(fault["of"])
            if kind == "wipe":
                for file in (self.folder / f"disk-{fault['of']}").iterdir():
                    file.unlink()
        else:
            fault["on"] = self.rig.relay.impose(on_links(fault, self.rig.names))

    def _end(self, fault: dict) -> None:
        if fault["as"] == "pause":
            self.rig.resume(fault["of"])
        elif fault["as"] in STOPS:
            self.rig.launch(fault["of"])
        else:
            self.rig.relay.lift(fault.pop("on"))
        self.note("healed", kind=fault["kind"], of=fault.get("of"))

    def _all_whole(self) -> bool:
        views = [self.rig.view(name, 0.2) for name in self.rig.names]
        return all(view is not None and view["whole"] for view in views)

    def _held(self) -> dict[str, list] | None:
        """The operators' entries of every member; None if one does not answer."""
        held = {}
        for name in self.rig.names:
            pages = [self.rig.state(name, prefix) for prefix in ("said/", "mark/")]
            if any(page is None for page in pages):
                return None
            held[name] = [row for page in pages for row in page["rows"]]
        return held

    def _settle(self) -> history_check.Found:
        began, held = time.monotonic(), None
        converged = None
        while converged is None and time.monotonic() - began < CONVERGE_S:
            time.sleep(0.05)
            self._answers()
            held = self._held()
            if held is not None and not history_check.differing(held):
                converged = round(time.monotonic() - began, 2)
        time.sleep(WAIT_MS / 1000)  # what was asked last is answered by now
        self._answers()
        self.rig.until(lambda: (self._held() or {}).keys() == set(self.rig.names), 5)
        return history_check.check(self.history, self._held() or held or {}, converged)


def replay(folder: Path, into: Path) -> history_check.Found:
    """The run whose folder it is once more. ValueError where there is none."""
    try:
        told = orjson.loads((folder / "play.json").read_bytes())
    except (OSError, orjson.JSONDecodeError) as wrong:
        raise ValueError(f"{folder / 'play.json'}: {wrong}") from None
    fleet = told.pop("fleet")
    return Play(into, told, **fleet).run()
