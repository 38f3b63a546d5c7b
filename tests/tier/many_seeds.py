"""Runs the simulated control plane with many seeds: `python -m tests.tier.many_seeds`.

Prints each failing seed with its error and exits with 1 if there was one. Keep such a seed as a test.
"""

import argparse
import logging
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from crowwing.tier.replication import log, range_transfer
from tests.tier.simulation import plays
from tests.tier.test_disk_faults import random_disk_faults
from tests.tier.test_replication import HOSTS, random_faults

FOUR = (*HOSTS, "d")
CHUNK = 8  # seeds per task of a worker process


def play_with_short_logs(seed: int, hosts: tuple[str, ...]) -> object:
    """Random faults; a replica that missed a few entries is repaired by ranges."""
    kept = log.MAX_ENTRIES, range_transfer.MAX_RANGES_PER_REQUEST
    log.MAX_ENTRIES, range_transfer.MAX_RANGES_PER_REQUEST = 3, 2
    try:
        return random_faults(seed, hosts)
    finally:
        log.MAX_ENTRIES, range_transfer.MAX_RANGES_PER_REQUEST = kept


def play_with_disks(seed: int, _hosts: tuple[str, ...]) -> object:
    """Faults of disks, always on three machines."""
    return random_disk_faults(seed)


KINDS: dict[str, Callable[[int, tuple[str, ...]], object]] = {
    "troubles": random_faults,
    "short-logs": play_with_short_logs,
    "disks": play_with_disks,
}


def find(kind: str, seed: int) -> str:
    """The error of one seed; empty if there was none."""
    logging.disable(logging.CRITICAL)
    try:
        if kind in plays.KINDS:
            plays.play(seed, plays.KINDS[kind])
        else:
            KINDS[kind](seed, HOSTS if seed % 2 else FOUR)
    except Exception as error:  # any error is reported with its seed
        return f"{kind} seed {seed}: {type(error).__name__}: {error}"
    return ""


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1000)
    parser.add_argument("--count", type=int, default=1000, help="seeds of each kind")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--kinds", default=",".join([*KINDS, *plays.KINDS]), help="comma-separated")
    options = parser.parse_args()
    found = 0
    seeds = range(options.first, options.first + options.count)
    with ProcessPoolExecutor(options.jobs) as pool:
        for kind in options.kinds.split(","):
            for finding in pool.map(partial(find, kind), seeds, chunksize=CHUNK):
                if finding:
                    found += 1
                    print(finding, flush=True)
            print(f"{kind}: {len(seeds)} seeds run", flush=True)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
