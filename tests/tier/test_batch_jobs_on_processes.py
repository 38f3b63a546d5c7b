"""Batch jobs on real processes: submitted to two fronts, ended while items run, and a front killed."""

import asyncio
from collections import Counter
from pathlib import Path

import httpx

from tests.tier.loopback import HOST_NAME, Loopback
from tests.tier.test_processes import ITEMS, results, run_on_tier, submit_batch_job, text_of

SLOW_PAUSE_S = 0.25  # between events, so that a run takes 1.5 s


def runs_of(tier: Loopback, job_id: str) -> Counter[str]:
    """How often each item of a job was started at a sidecar."""
    started = [name for sidecar in tier.sidecars for name in sidecar.runs]
    return Counter(name for name in started if name.startswith(f"{job_id}-"))


async def until_running(tier: Loopback, job_id: str) -> None:
    async def some_run() -> bool:
        return bool(runs_of(tier, job_id))

    await tier.wait_until(f"a run of {job_id}", some_run)


def test_a_job_that_is_resubmitted_after_a_lost_response_is_accepted_once(tmp_path: Path) -> None:
    async def scenario(tier: Loopback, client: httpx.AsyncClient) -> None:
        for sidecar in tier.sidecars:
            sidecar.pause_s = SLOW_PAUSE_S
        await submit_batch_job(tier, client, "lot0")
        await until_running(tier, "lot0")
        tier.fronts.reverse()  # the response was lost: the client tries the other front first
        await submit_batch_job(tier, client, "lot0")
        first = await results(tier, client, tier.fronts[0], "lot0")
        tier.fronts.reverse()
        await submit_batch_job(tier, client, "lot0")
        assert await results(tier, client, tier.fronts[0], "lot0") == first
        assert sorted(x["id"] for x in first) == sorted(f"lot0-{n}" for n in range(ITEMS))
        assert set(runs_of(tier, "lot0").values()) == {1}, "an item ran twice"

    run_on_tier(tmp_path, scenario)


def test_an_ended_job_starts_no_more_items_and_its_results_stay(tmp_path: Path) -> None:
    async def scenario(tier: Loopback, client: httpx.AsyncClient) -> None:
        for sidecar in tier.sidecars:
            sidecar.pause_s = SLOW_PAUSE_S
        await submit_batch_job(tier, client, "lot0")
        await until_running(tier, "lot0")

        async def ended() -> bool:
            url = tier.url(tier.fronts[1], "/lots/lot0")
            return (await client.delete(url, headers={"Host": HOST_NAME})).status_code == 200

        await tier.wait_until("the end", ended)
        await tier.wait_until("the end again", ended)
        before = await listed(tier, client, 0)
        for sidecar in tier.sidecars:
            sidecar.runs.clear()
        await submit_batch_job(tier, client, "lot1")
        await results(tier, client, tier.fronts[0], "lot1")  # time in which items of lot0 could have started
        assert runs_of(tier, "lot0") == Counter()
        for index in range(len(tier.fronts)):
            assert (await listed(tier, client, index))[: len(before)] == before

    run_on_tier(tmp_path, scenario)


async def listed(tier: Loopback, client: httpx.AsyncClient, index: int) -> list[dict[str, str]]:
    url = tier.url(tier.fronts[index], "/lots/lot0?startAfter=0")

    async def read() -> list[list[dict[str, str]]] | None:
        answer = await client.get(url, headers={"Host": HOST_NAME})
        assert answer.status_code != 404, "an ended job is still known"
        return [answer.json()["results"]] if answer.status_code == 200 else None

    return (await tier.wait_until("the listed results", read))[0]


def test_items_of_a_front_that_is_killed_are_run_by_another(tmp_path: Path) -> None:
    async def scenario(tier: Loopback, client: httpx.AsyncClient) -> None:
        for sidecar in tier.sidecars:
            sidecar.pause_s = SLOW_PAUSE_S
        await submit_batch_job(tier, client, "lot0")
        await until_running(tier, "lot0")
        tier.kill(tier.fronts[0])
        found = await asyncio.wait_for(results(tier, client, tier.fronts[1], "lot0"), 25)
        assert {x["id"]: x["text"] for x in found} == {
            f"lot0-{n}": text_of(f"lot0-{n}") for n in range(ITEMS)
        }

    run_on_tier(tmp_path, scenario)
