"""Random resets, partial requests, slow peers, failing peers and signals against the real command.

After each step each request has at most one answer and no keyed or non-idempotent request ran twice; at last
the process exits on its own. The seed is in the name of the test and reproduces the same faults.
"""

import asyncio
import copy
import json
import random
import signal
import socket
from pathlib import Path

import pytest

from tests.parties import reply
from tests.rig import SETTINGS, Sidecar
from tests.street import WAIT, Street, live_in
from tests.test_program import ident

RESET_ON_CLOSE = bytes([1] + [0] * 7)  # SO_LINGER: the close is a reset


def settings() -> dict:
    changed = copy.deepcopy(SETTINGS)
    changed["lanes"][1] |= {"semantics": "keyed", "dedup_window": 20000.0}
    for lane in changed["lanes"]:
        lane |= {"promise": 2000.0, "deadline": 3000.0}
    return changed


class RandomClients:
    """Clients of one test bed; `check` compares their answers with the runs at the worker agent."""

    def __init__(self, street: Street, seed: int) -> None:
        self.street, self.random_source, self.ids = street, random.Random(seed), 0
        self.answers: dict[str, int] = {}  # request -> the status of its one answer
        self.unanswered: dict[str, str] = {}  # request -> why it has none
        self.keys: dict[str, list[str]] = {}  # key -> requests that carried it
        self.results: dict[str, set[bytes]] = {}
        self.leaving = False

    def new(self) -> str:
        self.ids += 1
        return ident(self.ids)

    async def _answer(self, reader: asyncio.StreamReader, request: str) -> tuple[int, bytes, bool] | None:
        """Status, body and whether the connection stays open; None where it ended before the first byte."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as ended:
            assert not ended.partial, f"{request}: answer truncated after {ended.partial!r}"
            return None
        except ConnectionResetError:
            return None
        size = int(head.lower().partition(b"content-length:")[2].split()[0])
        body = await reader.readexactly(size)  # fails where the body is truncated
        return int(head.split()[1]), body, b"Connection: close" not in head

    async def send_requests(self) -> None:
        """Sends requests over one keep-alive connection; resends on a new one if closed unanswered."""
        connection = None
        for _ in range(self.random_source.randrange(1, 6)):
            request, kind = self.new(), self.random_source.choice(("look", "book", "pay"))
            more = {}
            if kind == "book" and self.random_source.random() < 0.8:
                key = f"k{self.random_source.randrange(12)}"
                self.keys.setdefault(key, []).append(request)
                more["X_Txn_Key"] = key
            data = Sidecar.ticket(request, kind, b"body", left=2500, **more)
            for _ in range(2):
                fresh = connection is None
                if connection is None:
                    side = socket.socket()
                    try:
                        side.connect(self.street.address)
                    except OSError:
                        assert self.leaving, f"{request}: connection refused before the shutdown"
                        self.unanswered[request] = "refused"
                        return
                    side.send(data)  # before the backend has accepted the connection
                    connection = await asyncio.open_connection(sock=side)
                else:
                    connection[1].write(data)
                reader, writer = connection
                got = await self._answer(reader, request)
                self.street.farm.answered(request)
                if got is not None:
                    assert request not in self.answers, f"{request}: a second answer"
                    self.answers[request] = got[0]
                    if got[0] == 200 and more:
                        self.results.setdefault(more["X_Txn_Key"], set()).add(got[1])
                    if not got[2]:
                        assert await reader.read() == b"", f"{request}: bytes after the last answer"
                        writer.close()
                        connection = None
                    break
                writer.close()
                connection = None
                assert not fresh, f"{request}: no answer on a new connection"
            await asyncio.sleep(self.random_source.random() * 0.05)
        if connection is not None:
            connection[1].close()

    async def misbehave(self) -> None:
        side = socket.socket()
        side.setblocking(False)
        loop, what = asyncio.get_running_loop(), self.random_source.randrange(6)
        whole = Sidecar.ticket("f" * 15 + f"{self.random_source.randrange(16):x}", "look", b"x" * 50)
        try:
            await loop.sock_connect(side, self.street.address)
            if what == 0:
                await loop.sock_sendall(side, whole[: self.random_source.randrange(1, len(whole))])
            elif what == 1:
                await loop.sock_sendall(side, self.random_source.randbytes(3000))
            elif what == 2:
                for byte in whole[:60]:
                    await loop.sock_sendall(side, bytes([byte]))
            elif what == 3:
                await loop.sock_sendall(side, b"GET /ping HTTP/1.1\r\n\r\n" * 20)
            elif what == 4:
                await loop.sock_sendall(side, whole)
                side.shutdown(socket.SHUT_WR)
            if self.random_source.random() < 0.5:
                side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        except OSError:
            pass
        side.close()

    async def inject_fault(self) -> None:
        what, street = self.random_source.randrange(6), self.street
        if what == 0:
            street.farm.cut()
        elif what == 1:
            street.below.answers += [
                self.random_source.choice(("break", reply(500), reply(504), b"garbage\r\n\r\n"))
            ]
        elif what == 2:
            street.control.answers += [self.random_source.choice(("break", reply(500)))]
        elif what == 3:
            street.signal(signal.SIGHUP)
        elif what == 4:
            whole = json.dumps(street.told)
            street.path.write_text(whole[: self.random_source.randrange(len(whole))])
            street.signal(signal.SIGHUP)
            await asyncio.sleep(0.02)
            street.path.write_text(whole)
        else:
            street.below.cut()

    def check(self) -> None:
        farm = self.street.farm
        for request, times in farm.begun.items():
            once = request in farm.pays or any(request in tries for tries in self.keys.values())
            assert times == 1 or not once, f"{request} ran {times} times"
        for key, tries in self.keys.items():
            assert sum(request in farm.begun for request in tries) <= 1, f"{key} ran more than once"
            assert len(self.results.get(key, ())) <= 1, f"{key} was answered with two different results"
        for request, status in self.answers.items():
            assert status in (200, 500, 503), (request, status)
            assert status != 503 or request not in farm.begun, f"{request}: rejected although it ran"
        for request in self.unanswered:
            assert request not in farm.begun, f"{request}: ran but got no answer"


@pytest.mark.parametrize("seed", range(8))
def test_each_request_gets_one_answer_under_random_faults_and_the_process_exits(
    tmp_path: Path, seed: int
) -> None:
    async def scene(street: Street) -> None:
        clients = RandomClients(street, seed)
        await street.event("ready")
        open_tasks: set[asyncio.Task] = set()

        async def begin(what: asyncio.Task) -> None:
            open_tasks.add(what)
            what.add_done_callback(open_tasks.discard)
            await asyncio.sleep(clients.random_source.random() * 0.02)

        failed: list[BaseException] = []

        async def record_failure(what: asyncio.Future) -> None:
            try:
                await what
            except Exception as error:
                failed.append(error)

        for _ in range(70):
            draw = clients.random_source.random()
            what = (
                clients.send_requests
                if draw < 0.6
                else clients.misbehave
                if draw < 0.85
                else clients.inject_fault
            )
            await begin(asyncio.create_task(record_failure(what())))
            assert not failed, failed
            clients.check()
        clients.leaving = True
        street.signal()
        while street.process.returncode is None:
            what = clients.send_requests if clients.random_source.random() < 0.7 else clients.misbehave
            await begin(asyncio.create_task(record_failure(what())))
            assert not failed, failed
        async with asyncio.timeout(WAIT):
            await asyncio.gather(*open_tasks)
        assert not failed, failed
        await street.ended()
        clients.check()
        assert len(clients.answers) > 60

    live_in(Street(tmp_path, settings(), stop=1200), scene)
