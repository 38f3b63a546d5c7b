"""The command: batches on standard input, replies on standard output, until the input ends."""

import sys

from crowwing.server_facts import InvalidSettingsError
from crowwing.simulator_adapter import frames
from crowwing.simulator_adapter.adapter import Adapter, InternalError


def main() -> int:
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    adapter = Adapter()
    try:
        while (batch := frames.read_batch(source)) is not None:
            frames.write_reply(sink, adapter.batch(*batch))
    except (frames.BadFrame, InvalidSettingsError) as wrong:
        print(f"crowwing.simulator_adapter: {wrong}", file=sys.stderr)
        return 2
    except InternalError as defect:
        frames.write_reply(sink, [frames.internal_error(defect.who, str(defect))])
        print(
            f"crowwing.simulator_adapter: internal error in instance {defect.who}: {defect}", file=sys.stderr
        )
        return 1
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
