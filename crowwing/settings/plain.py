"""`python -m crowwing.settings.plain FILE`: an operator file, checked and whole, as one line of JSON."""

import sys
from pathlib import Path

import msgspec

from crowwing.settings.operator import BadOperator, read


def main() -> int:
    """0, or 2 with a line a mistake on standard error."""
    try:
        told = read(Path(sys.argv[1]))
    except BadOperator as wrong:
        print(wrong, file=sys.stderr)
        return 2
    sys.stdout.write(msgspec.json.encode(told).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
