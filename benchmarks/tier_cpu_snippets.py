"""Measures of `tier_cpu` that run in a process of one version: `python -P tier_cpu_snippets.py MEASURE ...`.

Uses only names that both versions have: the codec on recorded bytes, and simulated runs by their seed.
Each measure prints its figures as JSON, by name: processor seconds for one operation.
"""

import importlib
import json
import logging
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

REGISTERING = ("crowwing.tier.store.main", "crowwing.tier.front.main", "crowwing.tier.operator_commands")
CODEC_PASSES, CODEC_ROUNDS = 7, 20  # the fastest pass counts
PLAY_SEED, PLAY_KIND = 100, "three"


def measure_codec(messages: Path) -> dict[str, float]:
    """Decodes and encodes every recorded message."""
    for name in REGISTERING:
        importlib.import_module(name)
    codec = importlib.import_module("crowwing.tier.wire.codec")
    recorded = json.loads(messages.read_text())
    encoded = [bytes.fromhex(one["bytes"]) for examples in recorded.values() for one in examples]
    values = [codec.decode(data) for data in encoded]
    return {"codec decode": fastest(codec.decode, encoded), "codec encode": fastest(codec.encode, values)}


def fastest(operation: Callable[[Any], Any], arguments: list[Any]) -> float:
    """Processor seconds of one call in the fastest of several passes, to reduce the effect of other load."""
    passes = []
    for _ in range(CODEC_PASSES):
        began = time.process_time()
        for _ in range(CODEC_ROUNDS):
            for argument in arguments:
                operation(argument)
        passes.append(time.process_time() - began)
    return min(passes) / (CODEC_ROUNDS * len(arguments))


def measure_play() -> dict[str, float]:
    """A simulated run of the control side: stores, operators and batch jobs under faults."""
    logging.disable(logging.CRITICAL)
    plays = importlib.import_module("tests.tier.simulation.plays")
    began = time.process_time()
    plays.play(PLAY_SEED, plays.KINDS[PLAY_KIND])
    return {"simulated run": time.process_time() - began}


def main(arguments: list[str]) -> int:
    """The command."""
    figures = measure_codec(Path(arguments[1])) if arguments[0] == "codec" else measure_play()
    print(json.dumps(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
