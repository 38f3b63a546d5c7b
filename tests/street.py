"""Test bed: the real command as `run` in the deploy file starts it, with the fake peers of parties.py."""

import asyncio
import itertools
import json
import os
import signal
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path

import uvloop

from tests.parties import FarmAgent, HttpStandIn, reply
from tests.rig import SETTINGS

ROOT = Path(__file__).parent.parent
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
WAIT = 30.0  # seconds; limit of a wait for an expected event, no performance target


NUMBERS = itertools.count(1)


def own_address() -> tuple[str, int]:
    """A loopback address that no other test bed and no ephemeral port of a client uses."""
    high, low = divmod(os.getpid(), 256)
    more, number = divmod(next(NUMBERS), 250)
    return f"127.{64 + high % 64}.{low}.{number + 1}", 7001 + more


def written(address: tuple) -> str:
    return f"{address[0]}:{address[1]}"


class Street:
    """One backend process, the log lines that it has written so far, and its fake peers."""

    run = RUN

    def __init__(self, folder: Path, settings: dict = SETTINGS, stop: int = 3000, **changes: object) -> None:
        self.folder, self.settings, self.stop, self.changes = folder, settings, stop, changes
        self.farm = FarmAgent()
        self.below = HttpStandIn(lambda head, body: reply(200, b"reply to " + body))
        self.control = HttpStandIn(lambda head, body: b"HTTP/1.1 204 So\r\n\r\n")
        self.lines: list[dict] = []
        self.heard = asyncio.Condition()
        self.address = own_address()
        self.path = folder / "configuration.json"
        self.servers: list[asyncio.Server] = []

    async def __aenter__(self) -> "Street":
        await self.open_parties()
        self.path.write_text(json.dumps(self.told))
        await self.exec()
        return self

    async def open_parties(self) -> None:
        handlers = [self.farm.serve, self.below.serve, self.control.serve]
        self.servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for serve in handlers]

    @property
    def told(self) -> dict:
        farm, below, control = (written(server.sockets[0].getsockname()) for server in self.servers)
        told = {
            "name": "n1", "listen": written(self.address), "agent": farm, "control": control,
            "backend": below, "seed": "8c1f30d27a5be964", "stop_ms": self.stop,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "settings": self.settings,
        } | self.changes  # fmt: skip
        return {name: value for name, value in told.items() if value is not None}

    async def exec(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.run, cwd=ROOT, env=os.environ | {"PROXY_CONFIG": str(self.path)},
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE, limit=1 << 20,
        )  # fmt: skip
        self.reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        while line := await self.process.stdout.readline():
            async with self.heard:
                self.lines.append(json.loads(line))
                self.heard.notify_all()
        async with self.heard:
            self.heard.notify_all()

    async def event(self, name: str, count: int = 1) -> dict:
        """Waits for the count-th log line of an event."""

        def found() -> list[dict]:
            return [line for line in self.lines if line["event"] == name]

        async with asyncio.timeout(WAIT), self.heard:
            await self.heard.wait_for(lambda: len(found()) >= count or self.reading.done())
        assert len(found()) >= count, f"no {name} in {[line['event'] for line in self.lines]}"
        return found()[count - 1]

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT):
            while not condition():
                await asyncio.sleep(0.002)

    def signal(self, number: signal.Signals = signal.SIGTERM) -> None:
        self.process.send_signal(number)

    async def stand_still(self) -> None:
        """Stops the process; what arrives meanwhile is read at once when it continues."""
        self.signal(signal.SIGSTOP)
        stat = Path(f"/proc/{self.process.pid}/stat")
        await self.until(lambda: stat.read_text().rpartition(")")[2].split()[0] == "T")

    async def ended(self, code: int = 0) -> None:
        """Waits for the process to exit with this code, an empty standard error and no defect in its log."""
        async with asyncio.timeout(WAIT):
            assert await self.process.wait() == code
            await self.reading
        wrong = (await self.process.stderr.read()).decode()
        assert code or not wrong, wrong
        defects = [line for line in self.lines if line["event"] in ("defect", "stray_defect")]
        assert not defects, defects
        counts = [line["counts"] for line in self.lines if line["event"] == "figures"]
        assert not any(name.startswith("broken") for count in counts for name in count), counts

    def accounted(self) -> None:
        """Checks by the last counters of the process that each received request has ended."""
        counts = [line["counts"] for line in self.lines if line["event"] == "figures"][-1]
        ends = sum(counts.get(end, 0) for end in ("settled", "dismissed", "forfeited", "gone"))
        assert counts.get("had", 0) == ends, counts

    async def __aexit__(self, *_: object) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.reading
        self.process._transport.close()
        for server in self.servers:
            server.close()
        for party in (self.farm, self.below, self.control):
            party.cut()


def live_in(street: Street, scene: Callable[[Street], Coroutine]) -> None:
    async def live() -> None:
        async with street:
            await scene(street)

    uvloop.run(asyncio.wait_for(live(), 90))
