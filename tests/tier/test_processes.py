"""The tier as real processes: acknowledged data survives kills; a stopping front completes its requests."""

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


def run_on_tier(folder: Path, scenario: Callable[[Loopback, httpx.AsyncClient], Awaitable[None]]) -> None:
    """Runs a scenario against a running tier."""

    async def run() -> None:
        async with Loopback(folder) as tier, httpx.AsyncClient(timeout=8.0, trust_env=False) as client:
            await put(tier, client, 0, 3)
            for front in tier.fronts:
                await tier.wait_until("a front that is ready", lambda front=front: ready(tier, client, front))
            await scenario(tier, client)

    asyncio.run(run())


async def ready(tier: Loopback, client: httpx.AsyncClient, front: str) -> bool:
    return (await client.get(f"http://{front}:{tier.port + 2}/ready")).status_code == 200


async def put(tier: Loopback, client: httpx.AsyncClient, base: int, version: int) -> None:
    async def is_accepted() -> bool:
        for store in tier.stores:
            try:
                response = await client.put(
                    tier.url(store, "/config"),
                    content=configuration(version),
                    headers={"If-Match": str(base)},
                )
            except httpx.HTTPError:
                continue
            if response.status_code == 200:
                return True
            assert response.status_code >= 500, response.text
        return False

    await tier.wait_until(f"an acknowledgement of version {version}", is_accepted)


async def post_request(
    tier: Loopback, client: httpx.AsyncClient, front: str, path: str, name: str
) -> httpx.Response:
    headers = {"Host": HOST_NAME, "Request-Id": name, "Deadline-Ms": "6000"}
    return await client.post(tier.url(front, path), headers=headers, content=b"question")


async def submit_batch_job(tier: Loopback, client: httpx.AsyncClient, job_id: str) -> None:
    body = base64.b64encode(b"text").decode()
    requests = [{"id": f"{job_id}-{n}", "path": "/lot/x", "headers": {}, "body": body} for n in range(ITEMS)]
    headers = {"Host": HOST_NAME, "Request-Id": job_id}

    async def is_accepted() -> bool:
        for front in tier.fronts:
            response = await client.post(
                tier.url(front, "/lot/x"), headers=headers, json={"requests": requests}
            )
            if response.status_code == 202:
                return True
        return False

    await tier.wait_until("a 202", is_accepted)


async def results(tier: Loopback, client: httpx.AsyncClient, front: str, job_id: str) -> list[dict[str, Any]]:
    """Waits for all results of a batch job, and returns them."""

    async def read() -> list[dict[str, Any]] | None:
        response = await client.get(
            tier.url(front, f"/lots/{job_id}?startAfter=0"), headers={"Host": HOST_NAME}
        )
        assert response.status_code != 404, "an accepted job is known"
        if response.status_code != 200 or len(response.json()["results"]) < ITEMS:
            return None
        return response.json()["results"]

    return await tier.wait_until(f"the results of {job_id}", read)


def text_of(name: str) -> str:
    return "\n".join(f"{name}-{number}" for number in range(1, EVENTS + 1))


def test_streams_and_jobs_are_served_and_survive_the_kill_of_each_store_machine(tmp_path: Path) -> None:
    async def scenario(tier: Loopback, client: httpx.AsyncClient) -> None:
        response = await post_request(tier, client, tier.fronts[0], "/ask/1", "r1")
        assert response.status_code == 200 and response.headers["server-stamp"] == "s1"
        assert response.text.count("data: r1-") == EVENTS
        unknown = await post_request(tier, client, tier.fronts[0], "/nowhere/", "r2")
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
        newest = await tier.wait_until("the configuration", lambda: read_config(tier, client))
        assert newest == configuration(version)

    run_on_tier(tmp_path, scenario)


async def read_config(tier: Loopback, client: httpx.AsyncClient) -> bytes | None:
    response = await client.get(tier.url(tier.stores[0], "/config"))
    return response.content if response.status_code == 200 else None


def test_all_store_machines_killed_at_once_keep_what_was_acknowledged(tmp_path: Path) -> None:
    async def scenario(tier: Loopback, client: httpx.AsyncClient) -> None:
        await submit_batch_job(tier, client, "lot0")
        first = await results(tier, client, tier.fronts[0], "lot0")
        for store in tier.stores:
            tier.kill(store)
        for store in tier.stores:
            tier.launch(store)
        await put(tier, client, 3, 5)
        assert await results(tier, client, tier.fronts[0], "lot0") == first

    run_on_tier(tmp_path, scenario)


def test_a_front_completes_its_streams_after_sigterm_and_exits(tmp_path: Path) -> None:
    async def scenario(tier: Loopback, client: httpx.AsyncClient) -> None:
        for sidecar in tier.sidecars:
            sidecar.pause_s = 0.2
        pending_response = asyncio.ensure_future(post_request(tier, client, tier.fronts[0], "/once/1", "r1"))

        async def runs() -> bool:
            return any("r1" in sidecar.runs for sidecar in tier.sidecars)

        await tier.wait_until("the run", runs)
        tier.kill(tier.fronts[0], signal.SIGTERM)
        response = await pending_response
        assert response.status_code == 200 and response.text.count("data: r1-") == EVENTS
        status = await asyncio.to_thread(tier.processes[tier.fronts[0]].wait, 10)
        assert status == 0

    run_on_tier(tmp_path, scenario)


def test_a_resumable_stream_continues_at_another_sidecar(tmp_path: Path) -> None:
    async def scenario(tier: Loopback, client: httpx.AsyncClient) -> None:
        breaking, other = tier.sidecars
        respond = breaking._respond

        async def break_off_response(
            line: str, headers: dict[str, str], writer: asyncio.StreamWriter
        ) -> None:
            if line.startswith("POST"):
                breaking.runs.append(headers["request-id"])
                event = f"id: 1\ndata: {headers['request-id']}-1\n\nid: 2\nda".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer-Stamp: s1\r\n\r\n")
                writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
                await writer.drain()
                raise OSError("response broken off")
            await respond(line, headers, writer)

        breaking._respond = break_off_response  # type: ignore[method-assign]
        for number in range(12):
            name = f"r{number}"
            response = await post_request(tier, client, tier.fronts[0], "/ask/1", name)
            expected = "".join(f"id: {n}\ndata: {name}-{n}\n\n" for n in range(1, EVENTS + 1))
            assert response.text == expected
            if name in breaking.runs:
                assert name in other.runs
                return
        raise AssertionError("no request went to the sidecar that breaks off responses")

    run_on_tier(tmp_path, scenario)


def test_a_front_whose_address_is_in_use_logs_it_and_exits_with_1(tmp_path: Path) -> None:
    async def scenario(tier: Loopback, client: httpx.AsyncClient) -> None:
        front = tier.fronts[0]
        tier.kill(front)
        with socket.create_server((front, tier.port + 1)):
            tier.launch(front)
            assert await asyncio.to_thread(tier.processes[front].wait, 15) == 1
        assert "in use" in (tier.folder / f"{front}.log").read_text()

    run_on_tier(tmp_path, scenario)


async def is_any_running(tier: Loopback) -> bool:
    return any(sidecar.runs for sidecar in tier.sidecars)


def test_a_response_broken_by_its_sidecar_is_logged_without_a_traceback(tmp_path: Path) -> None:
    async def scenario(tier: Loopback, client: httpx.AsyncClient) -> None:
        front = tier.fronts[0]
        for sidecar in tier.sidecars:
            sidecar.pause_s = 0.3
        pending_response = asyncio.ensure_future(post_request(tier, client, front, "/once/x", "broken"))
        await tier.wait_until("a request at a sidecar", lambda: is_any_running(tier))
        for sidecar in tier.sidecars:
            sidecar.reset_connections()
        try:
            response = await pending_response
        except httpx.RemoteProtocolError:
            pass
        else:
            raise AssertionError(f"a complete response: {response.status_code} {response.text}")
        log = (tier.folder / f"{front}.log").read_text()
        assert "response_broken sidecar=" in log and "Traceback" not in log

    run_on_tier(tmp_path, scenario)


async def raw_exchange(
    tier: Loopback, front: str, parts: list[bytes], pause_s: float, limit_s: float = 8.0
) -> bytes:
    """Sends bytes with pauses on a connection; returns what it receives until it is closed."""
    reader, writer = await asyncio.open_connection(front, tier.port + 1)
    try:
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause_s)
        return await asyncio.wait_for(reader.read(), limit_s)
    finally:
        writer.close()


def test_client_limits_of_the_configuration_are_enforced(tmp_path: Path) -> None:
    async def scenario(tier: Loopback, client: httpx.AsyncClient) -> None:
        front = tier.fronts[0]
        start = b"POST /ask/x HTTP/1.1\r\nHost: " + HOST_NAME.encode() + b"\r\nRequest-Id: bound\r\n"
        long_head = start + b"X: " + bytes(20_000).replace(b"\0", b"x") + b"\r\n\r\n"
        assert (await raw_exchange(tier, front, [long_head], 0)).startswith(b"HTTP/1.1 431 ")
        chunks = [start, b"X: " + b"x" * 10_000, b"x" * 10_000]
        assert (await raw_exchange(tier, front, chunks, 0.05)).startswith(b"HTTP/1.1 431 ")
        assert (await raw_exchange(tier, front, [start], 0)).startswith(b"HTTP/1.1 408 "), "incomplete head"
        incomplete_body = start + b"Content-Length: 10\r\n\r\nfour"
        assert (await raw_exchange(tier, front, [incomplete_body], 0)).startswith(b"HTTP/1.1 408 "), (
            "incomplete body"
        )
        assert await raw_exchange(tier, front, [], 0) == b"", "connection without a request"
        request = start + b"Content-Length: 8\r\n\r\nquestion"
        response = await raw_exchange(tier, front, [request], 0)
        assert response.startswith(b"HTTP/1.1 200 ") and response.endswith(b"0\r\n\r\n"), (
            "closed after the idle time-out"
        )
        assert (await post_request(tier, client, front, "/ask/x", "after")).status_code == 200

    run_on_tier(tmp_path, scenario)


def test_a_client_that_does_not_read_is_dropped_at_its_deadline(tmp_path: Path) -> None:
    async def scenario(tier: Loopback, client: httpx.AsyncClient) -> None:
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
            await tier.wait_until("a run", lambda: is_any_running(tier))
            await tier.wait_until("its end", lambda: is_idle(tier), 6.0)
            writer.transport.abort()
        log = (tier.folder / f"{front}.log").read_text()
        assert log.count("response_broken sidecar=") == 2 and "Traceback" not in log

    run_on_tier(tmp_path, scenario)


async def is_idle(tier: Loopback) -> bool:
    """Whether no sidecar has open requests."""
    return not any(sidecar.open_requests for sidecar in tier.sidecars)
