"""Digests of simulated histories, to compare two versions: `python -m tests.tier.history_digests`.

A change that only renames or moves code leaves every line as it was.
"""

import argparse
import logging
import sys
from concurrent.futures import ProcessPoolExecutor
from hashlib import blake2b

from tests.tier.simulation import plays


def digest_of_play(case: tuple[str, int]) -> str:
    """One line: the kind, the seed and a digest of the history, or the type of the error."""
    kind, seed = case
    logging.disable(logging.CRITICAL)
    try:
        lines = plays.play(seed, plays.KINDS[kind]).history.lines()
    except Exception as error:  # any error is printed in place of the digest
        return f"{kind} {seed} {type(error).__name__}"
    return f"{kind} {seed} {blake2b(chr(10).join(lines).encode(), digest_size=12).hexdigest()}"


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=100)
    parser.add_argument("--count", type=int, default=2, help="seeds of each kind")
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.count)
    cases = [(kind, seed) for kind in plays.KINDS for seed in seeds]
    with ProcessPoolExecutor(options.jobs) as pool:
        for line in pool.map(digest_of_play, cases):
            print(line, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
