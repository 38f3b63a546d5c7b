"""The tier as real processes: what is acknowledged outlasts kills; a front that leaves ends what it began."""

import asyncio
import base64
import signal
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import httpx

from tests.tier.loopback import EVENTS, HOST_NAME, Loopback, configuration

ITEMS = 10


def played(folder: Path, play: Callable[[Loopback, httpx.AsyncClient], Awaitable[None]]) -> None:
    """Plays a test among running processes."""

    async def whole() -> None:
        async with Loopback(folder) as tier, httpx.AsyncClient(timeout=8.0, trust_env=False) as client:
            await put(tier, client, 0, 3)
            for front in tier.fronts:
                await tier.until("a front that is ready", lambda front=front: ready(tier, client, front))
            await play(tier, client)

    asyncio.run(whole())


async def ready(tier: Loopback, client: httpx.AsyncClient, front: str) -> bool:
    return (await client.get(f"http://{front}:{tier.port + 2}/ready")).status_code == 200


async def put(tier: Loopback, client: httpx.AsyncClient, base: int, version: int) -> None:
    async def sent() -> bool:
        for store in tier.stores:
            try:
                answer = await client.put(
                    tier.url(store, "/config"),
                    content=configuration(version),
                    headers={"If-Match": str(base)},
                )
            except httpx.HTTPError:
                continue
            if answer.status_code == 200:
                return True
            assert answer.status_code >= 500, answer.text
        return False

    await tier.until(f"an acknowledgement of version {version}", sent)


async def ask(tier: Loopback, client: httpx.AsyncClient, front: str, path: str, name: str) -> httpx.Response:
    headers = {"Host": HOST_NAME, "Request-Id": name, "Deadline-Ms": "6000"}
    return await client.post(tier.url(front, path), headers=headers, content=b"question")


async def submit_batch_job(tier: Loopback, client: httpx.AsyncClient, job_id: str) -> None:
    body = base64.b64encode(b"text").decode()
    requests = [{"id": f"{job_id}-{n}", "path": "/lot/x", "headers": {}, "body": body} for n in range(ITEMS)]
    headers = {"Host": HOST_NAME, "Request-Id": job_id}

    async def taken() -> bool:
        for front in tier.fronts:
            answer = await client.post(
                tier.url(front, "/lot/x"), headers=headers, json={"requests": requests}
            )
            if answer.status_code == 202:
                return True
        return False

    await tier.until("a 202", taken)


async def results(tier: Loopback, client: httpx.AsyncClient, front: str, job_id: str) -> list[dict[str, Any]]:
    """All results of a lot, once they are there."""

    async def read() -> list[dict[str, Any]] | None:
        answer = await client.get(
            tier.url(front, f"/lots/{job_id}?startAfter=0"), headers={"Host": HOST_NAME}
        )
        assert answer.status_code != 404, "a lot that was taken is known"
        if answer.status_code != 200 or len(answer.json()["results"]) < ITEMS:
            return None
        return answer.json()["results"]

    return await tier.until(f"the results of {job_id}", read)


def text_of(name: str) -> str:
    return "\n".join(f"{name}-{number}" for number in range(1, EVENTS + 1))


def test_streams_and_jobs_are_served_and_outlast_the_kill_of_each_store_machine(tmp_path: Path) -> None:
    async def play(tier: Loopback, client: httpx.AsyncClient) -> None:
        answer = await ask(tier, client, tier.fronts[0], "/ask/1", "r1")
        assert answer.status_code == 200 and answer.headers["server-stamp"] == "s1"
        assert answer.text.count("data: r1-") == EVENTS
        unknown = await ask(tier, client, tier.fronts[0], "/nowhere/", "r2")
        assert unknown.status_code == 404
        await submit_batch_job(tier, client, "lot0")
        first = await results(tier, client, tier.fronts[0], "lot0")
        assert {x["id"]: x["text"] for x in first} == {
            f"lot0-{n}": text_of(f"lot0-{n}") for n in range(ITEMS)
        }
        version = 3
        for store in tier.stores:
            tier.kill(store)
            await put(tier, client, version, version + 2)
            version += 2
            assert await results(tier, client, tier.fronts[1], "lot0") == first
            await submit_batch_job(tier, client, f"lot-{store}")
            tier.launch(store)
            assert len(await results(tier, client, tier.fronts[0], f"lot-{store}")) == ITEMS
        newest = await tier.until("the configuration", lambda: read_config(tier, client))
        assert newest == configuration(version)

    played(tmp_path, play)


async def read_config(tier: Loopback, client: httpx.AsyncClient) -> bytes | None:
    answer = await client.get(tier.url(tier.stores[0], "/config"))
    return answer.content if answer.status_code == 200 else None


def test_all_store_machines_killed_at_once_keep_what_was_acknowledged(tmp_path: Path) -> None:
    async def play(tier: Loopback, client: httpx.AsyncClient) -> None:
        await submit_batch_job(tier, client, "lot0")
        first = await results(tier, client, tier.fronts[0], "lot0")
        for store in tier.stores:
            tier.kill(store)
        for store in tier.stores:
            tier.launch(store)
        await put(tier, client, 3, 5)
        assert await results(tier, client, tier.fronts[0], "lot0") == first

    played(tmp_path, play)


def test_a_front_that_gets_sigterm_ends_its_streams_and_then_itself(tmp_path: Path) -> None:
    async def play(tier: Loopback, client: httpx.AsyncClient) -> None:
        for sidecar in tier.sidecars:
            sidecar.pause_s = 0.2
        asked = asyncio.ensure_future(ask(tier, client, tier.fronts[0], "/once/1", "r1"))

        async def runs() -> bool:
            return any("r1" in sidecar.runs for sidecar in tier.sidecars)

        await tier.until("the run", runs)
        tier.kill(tier.fronts[0], signal.SIGTERM)
        answer = await asked
        assert answer.status_code == 200 and answer.text.count("data: r1-") == EVENTS
        status = await asyncio.to_thread(tier.processes[tier.fronts[0]].wait, 10)
        assert status == 0

    played(tmp_path, play)


def test_a_stream_that_may_be_resumed_goes_on_at_another_sidecar(tmp_path: Path) -> None:
    async def play(tier: Loopback, client: httpx.AsyncClient) -> None:
        breaking, other = tier.sidecars
        whole = breaking._answer

        async def breaks_off(line: str, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
            if line.startswith("POST"):
                breaking.runs.append(headers["request-id"])
                event = f"id: 1\ndata: {headers['request-id']}-1\n\nid: 2\nda".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer-Stamp: s1\r\n\r\n")
                writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
                await writer.drain()
                raise OSError("breaks off")
            await whole(line, headers, writer)

        breaking._answer = breaks_off  # type: ignore[method-assign]
        for number in range(12):
            name = f"r{number}"
            answer = await ask(tier, client, tier.fronts[0], "/ask/1", name)
            expected = "".join(f"id: {n}\ndata: {name}-{n}\n\n" for n in range(1, EVENTS + 1))
            assert answer.text == expected
            if name in breaking.runs:
                assert name in other.runs
                return
        raise AssertionError("no request went to the sidecar that breaks off")

    played(tmp_path, play)


def test_a_front_whose_address_is_taken_says_so_and_ends_with_1(tmp_path: Path) -> None:
    async def play(tier: Loopback, client: httpx.AsyncClient) -> None:
        front = tier.fronts[0]
        tier.kill(front)
        with socket.create_server((front, tier.port + 1)):
            tier.launch(front)
            assert await asyncio.to_thread(tier.processes[front].wait, 15) == 1
        assert "in use" in (tier.folder / f"{front}.log").read_text()

    played(tmp_path, play)


async def running_anywhere(tier: Loopback) -> bool:
    return any(sidecar.runs for sidecar in tier.sidecars)


def test_an_answer_that_its_sidecar_breaks_off_leaves_a_line_and_no_traceback(tmp_path: Path) -> None:
    async def play(tier: Loopback, client: httpx.AsyncClient) -> None:
        front = tier.fronts[0]
        for sidecar in tier.sidecars:
            sidecar.pause_s = 0.3
        open_answer = asyncio.ensure_future(ask(tier, client, front, "/once/x", "broken"))
        await tier.until("a request at a sidecar", lambda: running_anywhere(tier))
        for sidecar in tier.sidecars:
            sidecar.break_off()
        try:
            answer = await open_answer
        except httpx.RemoteProtocolError:
            pass
        else:
            raise AssertionError(f"a whole answer: {answer.status_code} {answer.text}")
        log = (tier.folder / f"{front}.log").read_text()
        assert "response_broken sidecar=" in log and "Traceback" not in log

    played(tmp_path, play)


async def raw_exchange(
    tier: Loopback, front: str, parts: list[bytes], pause_s: float, limit_s: float = 8.0
) -> bytes:
    """What a connection answers to bytes that are sent with pauses, until it is closed."""
    reader, writer = await asyncio.open_connection(front, tier.port + 1)
    try:
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause_s)
        return await asyncio.wait_for(reader.read(), limit_s)
    finally:
        writer.close()


def test_clients_are_held_to_the_bounds_of_the_configuration(tmp_path: Path) -> None:
    async def play(tier: Loopback, client: httpx.AsyncClient) -> None:
        front = tier.fronts[0]
        start = b"POST /ask/x HTTP/1.1\r\nHost: " + HOST_NAME.encode() + b"\r\nRequest-Id: bound\r\n"
        whole_head = start + b"X: " + bytes(20_000).replace(b"\0", b"x") + b"\r\n\r\n"
        assert (await raw_exchange(tier, front, [whole_head], 0)).startswith(b"HTTP/1.1 431 ")
        pieces = [start, b"X: " + b"x" * 10_000, b"x" * 10_000]
        assert (await raw_exchange(tier, front, pieces, 0.05)).startswith(b"HTTP/1.1 431 ")
        assert (await raw_exchange(tier, front, [start], 0)).startswith(b"HTTP/1.1 408 "), "a head that stops"
        begun = start + b"Content-Length: 10\r\n\r\nfour"
        assert (await raw_exchange(tier, front, [begun], 0)).startswith(b"HTTP/1.1 408 "), "a body that stops"
        assert await raw_exchange(tier, front, [], 0) == b"", "a connection that never says anything"
        answer = start + b"Content-Length: 8\r\n\r\nquestion"
        told = await raw_exchange(tier, front, [answer], 0)
        assert told.startswith(b"HTTP/1.1 200 ") and told.endswith(b"0\r\n\r\n"), (
            "then it rests, and is closed"
        )
        assert (await ask(tier, client, front, "/ask/x", "after")).status_code == 200

    played(tmp_path, play)


def test_a_client_that_does_not_read_holds_its_place_no_longer_than_its_deadline(tmp_path: Path) -> None:
    async def play(tier: Loopback, client: httpx.AsyncClient) -> None:
        for sidecar in tier.sidecars:
            sidecar.padding = 8 * 1024 * 1024
        front = tier.fronts[0]
        for path in (b"/ask/x", b"/once/x"):
            head = b"POST " + path + b" HTTP/1.1\r\nHost: " + HOST_NAME.encode()
            head += b"\r\nRequest-Id: unread\r\nDeadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
            for sidecar in tier.sidecars:
                sidecar.runs.clear()
            reader, writer = await asyncio.open_connection(front, tier.port + 1, limit=1024)
            writer.write(head)
            await tier.until("a run", lambda: running_anywhere(tier))
            await tier.until("its end", lambda: nothing_open(tier), 6.0)
            writer.transport.abort()
        log = (tier.folder / f"{front}.log").read_text()
        assert log.count("response_broken sidecar=") == 2 and "Traceback" not in log

    played(tmp_path, play)


async def nothing_open(tier: Loopback) -> bool:
    """Whether no sidecar is answering anything."""
    return not any(sidecar.answering for sidecar in tier.sidecars)
