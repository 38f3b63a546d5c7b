"""The command: reads batches from standard input and writes replies to standard output until it ends."""

import sys

from crowwing.server_facts import InvalidSettingsError
from crowwing.simulator_adapter import frames
from crowwing.simulator_adapter.adapter import Adapter, InternalError


def main() -> int:
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    adapter = Adapter()
    try:
        while (batch := frames.read_batch(source)) is not None:
            frames.write_reply(sink, adapter.process_batch(*batch))
    except (frames.InvalidFrameError, InvalidSettingsError) as error:
        print(f"crowwing.simulator_adapter: {error}", file=sys.stderr)
        return 2
    except InternalError as error:
        frames.write_reply(sink, [frames.internal_error(error.instance, str(error))])
        print(
            f"crowwing.simulator_adapter: internal error in instance {error.instance}: {error}",
            file=sys.stderr,
        )
        return 1
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
