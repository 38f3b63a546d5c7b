"""The simulator's wire: the example of its specification, and invalid input."""

import subprocess
import sys

import pytest

EMPTY = bytes.fromhex("00000000206ec0400000000000000000")
VANISHED = bytes.fromhex("24040c00000005000000192b6f0e93170100")


def batch(*records: bytes) -> bytes:
    body = b"".join(records)
    return EMPTY[:8] + len(body).to_bytes(4, "little") + len(records).to_bytes(4, "little") + body


def hello(settings: bytes) -> bytes:
    fields = (3).to_bytes(4, "little") + (1).to_bytes(8, "little") + len(settings).to_bytes(4, "little")
    return batch(
        (1000).to_bytes(2, "little") + (len(fields + settings)).to_bytes(4, "little") + fields + settings
    )


def run_adapter(raw: bytes) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "crowwing.simulator_adapter"], input=raw, capture_output=True, timeout=30
    )


def test_empty_batches_get_empty_replies_until_the_input_ends() -> None:
    done = run_adapter(EMPTY + EMPTY)
    assert (done.returncode, done.stdout, done.stderr) == (0, bytes(16), b"")


@pytest.mark.parametrize(
    ("raw", "word"),
    [
        (EMPTY[:7], b"header"),
        (batch(VANISHED)[:-3], b"cut off"),
        (batch(VANISHED[:6] + VANISHED[6:-1]), b"VANISHED|record"),
        (EMPTY[:12] + (9).to_bytes(4, "little"), b"9 records"),
        (batch((4242).to_bytes(2, "little") + bytes(4)), b"4242"),
        (batch(VANISHED), b"not started"),
        (hello(b"{"), b"settings"),
        (hello(b"{}"), b"family_info"),
        (hello(b'{"family_info": 3, "invariants": {}}'), b"settings"),
    ],
)
def test_invalid_input_ends_with_one_line_on_standard_error(raw: bytes, word: bytes) -> None:
    done = run_adapter(raw)
    assert done.returncode != 0 and done.stdout == b""
    assert done.stderr.count(b"\n") == 1 and b"Traceback" not in done.stderr
    assert any(part in done.stderr for part in word.split(b"|"))
