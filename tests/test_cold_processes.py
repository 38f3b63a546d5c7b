"""24 processes that start at once while their servers warm up, overloaded by callers that ignore limits."""

import asyncio
import copy
from pathlib import Path

from tests.parties import FarmAgent
from tests.rig import SETTINGS, Sidecar
from tests.street import Street
from tests.test_program import ident

FLEET, REQUESTS_PER_PROCESS = 24, 24
CORES, OVERLOAD_FACTOR, INITIAL_SPEED, WARM_UP_MS = 6, 8.0, 0.2, 60_000.0


def settings() -> dict:
    changed = copy.deepcopy(SETTINGS)
    changed["servers"] = FLEET + 1
    changed["family_info"] |= {"cpus": CORES, "ram_kb": 1e6}
    changed["invariants"] |= {
        "cold": WARM_UP_MS,
        "cold_from": INITIAL_SPEED,
        "fall_multiple": OVERLOAD_FACTOR,
    }
    return changed


class OverloadedAgent(FarmAgent):
    """Its runs wait and use no core, so the backend's limit rises to its maximum; records that maximum."""

    def __init__(self, greet: bytes) -> None:
        super().__init__()
        self.hold, self.greet, self.most, self.excess = True, greet, 0, 0
        self.greeted_at: float | None = None
        self.climbing = 0  # samples since all cores were in use

    def concurrency_limit(self) -> float:
        """Runs that the settings allow by now on a server that began to warm up at the greeting."""
        age = asyncio.get_running_loop().time() - self.greeted_at
        speed = min(1.0, INITIAL_SPEED + (1 - INITIAL_SPEED) * age * 1000 / WARM_UP_MS)
        return CORES * (1 + (OVERLOAD_FACTOR - 1) * speed)

    def obey(self, words: list[str], blob: bytes, writer: asyncio.StreamWriter) -> None:
        if words[0] == "subscribe":
            self.greeted_at = asyncio.get_running_loop().time()
        if words[0] == "sample":
            writer.write(f"sampled {words[1]} 0.1 1\r\n".encode())
            self.climbing += self.most >= CORES
            return
        super().obey(words, blob, writer)
        self.most = max(self.most, len(self.running))
        self.excess = max(self.excess, len(self.running) - self.concurrency_limit())


def test_24_processes_warming_up_are_ready_in_time_and_stay_within_their_concurrency_limit(
    tmp_path: Path,
) -> None:
    """A warm process exceeds the same limit, which shows that the check detects an excess. Every request gets
    one answer once the runs end; every process answers some with 200 and exits on its own."""

    async def live() -> None:
        streets = []
        for n in range(FLEET + 1):
            folder = tmp_path / str(n)
            folder.mkdir()
            streets.append(Street(folder, settings(), stop=900))
            streets[n].farm = OverloadedAgent(b"greeting COLD 0\r\n" if n else b"greeting WARM 600000\r\n")
        warm, loop = streets[0].farm, asyncio.get_running_loop()
        began = loop.time()
        try:
            await asyncio.gather(*(street.__aenter__() for street in streets))

            async def ready(street: Street) -> float:
                await street.until(lambda: street.control.heard)
                return loop.time() - began

            took = sorted(await asyncio.gather(*map(ready, streets)))
            assert took[FLEET * 9 // 10] < 10 and took[-1] < 30, took

            async def ask(street: Street, n: int) -> int:
                side = await Sidecar(street).open()
                return (await side.ask(Sidecar.ticket(ident(n), X_Router=str(n))))[0]

            asked = [
                [asyncio.create_task(ask(street, n)) for n in range(REQUESTS_PER_PROCESS)]
                for street in streets
            ]
            await streets[0].until(lambda: warm.most == REQUESTS_PER_PROCESS)
            assert warm.excess > 0
            enough = 2 * warm.climbing + 10  # twice the samples that the warm process took to its maximum
            for street in streets[1:]:
                await street.until(lambda farm=street.farm: farm.climbing > enough)
                assert street.farm.excess <= 0, (street.farm.most, street.farm.concurrency_limit())
            for street in streets:
                street.farm.hold = False
                for one in list(street.farm.running):
                    street.farm.go_on(one)
            for street, tasks in zip(streets, asked, strict=True):
                answers = await asyncio.gather(*tasks)
                assert set(answers) <= {200, 503} and answers.count(200) >= CORES
                assert street.farm.begun == dict.fromkeys(street.farm.begun, 1)
                street.signal()
            for street in streets:
                await street.ended()
                street.accounted()
        finally:
            await asyncio.gather(*(street.__aexit__() for street in streets))

    asyncio.run(asyncio.wait_for(live(), 90))
