"""A sidecar crashes in the middle of an event of an answer without a length."""

import asyncio
import subprocess
import sys
from pathlib import Path

import bed

FOLDER = Path(__file__).parent
REQUESTS, EVENTS, CRASH_AFTER_S = 12, 40, 1.0


async def case(record: bed.Record) -> int:
    """Asks for some streams, and kills the sidecar while it sends them."""
    platform = bed.Platform()
    await platform.start()
    sidecar = subprocess.Popen([sys.executable, "sidecar.py", "i-1"], cwd=FOLDER, stdout=subprocess.PIPE)
    try:
        assert sidecar.stdout is not None
        address = sidecar.stdout.readline().decode().strip()
        platform.entries.append(bed.entry("i-1", address))
        return await play(record, platform, sidecar)
    finally:
        sidecar.kill()
        sidecar.wait()


async def play(record: bed.Record, platform: bed.Platform, sidecar: "subprocess.Popen[bytes]") -> int:
    """Plays the case with a sidecar that runs."""
    with bed.Bed(record) as tier:
        tier.platform_address = platform.address
        for host in (*tier.stores, *tier.fronts):
            tier.start(host, bootstrap=True)
        await tier.put(0, bed.configuration(1, [bed.route("r-stream", "/lohu930/", bed.STREAM)]))
        await tier.until_ready()
        await asyncio.sleep(2.0)
        tasks = [asyncio.ensure_future(ask(record, tier)) for _ in range(REQUESTS)]
        await asyncio.sleep(CRASH_AFTER_S)
        if bed.with_trouble():
            sidecar.kill()
            record.write("the sidecar is killed")
        broken = sum(await asyncio.gather(*tasks))
    return bed.BROKEN if broken else bed.HELD


async def ask(record: bed.Record, tier: bed.Bed) -> bool:
    """Sends one request; returns whether its answer looks complete and isn't."""
    request_id = bed.new_id()
    headers = {
        "Host": bed.HOST,
        "Request-Id": request_id,
        "Model": "m",
        "Token-Usage": "1460,80",
        "Deadline-Ms": "6000",
    }
    answer = await bed.request(tier.fronts[0], tier.port + 1, "POST", "/lohu930/2f", headers, b"question", 8)
    events = answer.body.count(b"\n\n")
    is_broken = answer.status == 200 and answer.complete and events < EVENTS
    ending = "ends as complete" if answer.complete else "breaks off"
    record.write(
        f"client: {request_id}: {answer.status}, {events} whole events of {EVENTS}, {ending}; the last bytes: {answer.body[-30:]!r}"
    )
    return is_broken


if __name__ == "__main__":
    sys.exit(bed.main(FOLDER, case))
