"""A batch item whose output holds characters that Unicode, but not the event stream format, calls line ends."""

import asyncio
import base64
import json
import sys
from pathlib import Path

import bed

SEPARATORS = {
    "U+2028": "\u2028",
    "U+2029": "\u2029",
    "U+0085": "\u0085",
    "U+000B": "\u000b",
    "U+000C": "\u000c",
    "U+001C": "\u001c",
    "U+001D": "\u001d",
    "U+001E": "\u001e",
}
EVENTS = 6


def piece(number: int, separator: str) -> str:
    """The data of one event."""
    return f"label {number} first part{separator}second part"


async def case(record: bed.Record) -> int:
    """Hands in one batch job, one item for each character, and compares the results with the outputs."""
    characters = {bed.new_id(): name for name in SEPARATORS}
    outputs = {
        item: [piece(n, SEPARATORS[name] if bed.with_trouble() else " ") for n in range(1, EVENTS + 1)]
        for item, name in characters.items()
    }

    async def run(headers: dict[str, str], writer: asyncio.StreamWriter) -> bool:
        item = headers["request-id"]
        first = int(headers.get("last-event-id", "0")) + 1
        record.write(f"sidecar runs item {item} from event {first} on")
        writer.write(bed.stream_head(headers))
        for number, data in enumerate(outputs[item], 1):
            if number >= first:
                writer.write(bed.chunk(bed.event(number, data)))
                await writer.drain()
                await asyncio.sleep(0.02)
        writer.write(bed.LAST_CHUNK)
        record.write(f"sidecar has sent all {EVENTS} events of item {item}")
        return True

    platform = bed.Platform()
    await platform.start()
    for name in ("i-1", "i-2"):
        sidecar = bed.Sidecar(name, run)
        await sidecar.start()
        platform.entries.append(bed.entry(name, sidecar.address))
    with bed.Bed(record, fronts=2) as tier:
        tier.platform_address = platform.address
        for host in (*tier.stores, *tier.fronts):
            tier.start(host, bootstrap=True)
        await tier.put(0, bed.configuration(1, [bed.route("r-batch", "/pule252/", bed.BATCH)]))
        await tier.until_ready()
        job = bed.new_id()
        items = [
            {"id": item, "path": f"/pule252/{item}", "headers": {"Model": "m", "Token-Usage": "540,400"},
             "body": base64.b64encode(b"label").decode(), "tokens": 940}
            for item in outputs
        ]  # fmt: skip
        headers = {"Host": bed.HOST, "Request-Id": job, "Content-Type": "application/json"}
        body = json.dumps({"requests": items}).encode()
        for _ in range(40):
            answer = await bed.request(
                tier.fronts[0], tier.port + 1, "POST", f"/pule252/{job}", headers, body, 4
            )
            record.write(f"client: batch job {job} of {len(items)} items: {answer.status}")
            if answer.status == 202:
                break
            await asyncio.sleep(0.25)
        else:
            raise bed.CouldNotRunError("the batch job was not accepted")
        results = await read(tier, job, len(items))
    broken = 0
    for result in results:
        whole = "\n".join(outputs[result["id"]])
        is_whole = result["state"] != "completed" or result["text"] == whole
        broken += not is_whole
        name = characters[result["id"]]
        record.write(
            f"result {result['id']} ({name}): {result['state']}, {'whole' if is_whole else 'NOT the whole output'}"
        )
        if not is_whole:
            record.write(f"  sent by the sidecar: {whole}")
            record.write(f"  read by the client:  {result['text']}")
    if len(results) < len(items):
        raise bed.CouldNotRunError(f"{len(results)} of {len(items)} results")
    return bed.BROKEN if broken else bed.HELD


async def read(tier: bed.Bed, job: str, count: int) -> list[dict[str, str]]:
    """Reads all results, from the other front."""
    results: list[dict[str, str]] = []
    headers = {"Host": bed.HOST, "Wait-Ms": "1000"}
    for _ in range(60):
        path = f"/lots/{job}?startAfter={len(results)}"
        answer = await bed.request(tier.fronts[1], tier.port + 1, "GET", path, headers, b"", 4)
        if answer.status == 200:
            results += json.loads(answer.body)["results"]
        if len(results) == count:
            break
        await asyncio.sleep(0.3)
    return results


if __name__ == "__main__":
    sys.exit(bed.main(Path(__file__).parent, case))
