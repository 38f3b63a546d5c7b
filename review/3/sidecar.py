"""A sidecar as a process of its own, so that it can be killed. Prints its address.

It answers requests with streams without a length, which end with their connection. It sends events in pieces,
as bytes leave the model: every event is in two writes.
"""

import asyncio
import sys

import bed

EVENTS, PAUSE_S = 40, 0.05


async def run(headers: dict[str, str], writer: asyncio.StreamWriter) -> bool:
    """Answers with EVENTS events; the connection ends with the answer."""
    print("run", flush=True)
    writer.write(bed.stream_head(headers, "Connection: close"))
    for number in range(1, EVENTS + 1):
        raw = bed.event(number, f"token {number} of {EVENTS}")
        writer.write(raw[:12])
        await writer.drain()
        await asyncio.sleep(PAUSE_S * 0.9)
        writer.write(raw[12:])
        await writer.drain()
        await asyncio.sleep(PAUSE_S * 0.1)
    return False


async def main() -> None:
    """Serves until killed."""
    sidecar = bed.Sidecar(sys.argv[1], run)
    await sidecar.start()
    print(sidecar.address, flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
