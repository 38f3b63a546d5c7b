"""Starts one backend; one plain line and a non-zero exit where it cannot."""

import asyncio
import os
import signal
import sys
from functools import partial

import uvloop

from crowwing.program.backend import Backend
from crowwing.program.configuration import BadConfiguration, read
from crowwing.program.log import Log


async def _serve(backend_of: object) -> None:
    await backend_of(asyncio.get_running_loop()).run()


def main() -> int:
    # Guards against the end by a SIGHUP that comes before the loop hears signals: the backend, once it does,
    # reads its configuration again whether one came or not.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        posting = read(os.environ)
    except BadConfiguration as wrong:
        print(f"crowwing: {wrong}", file=sys.stderr)
        return 2
    log = Log(posting.name)
    try:
        uvloop.run(_serve(lambda loop: Backend(loop, posting, log, partial(read, os.environ))))
    except OSError as wrong:
        print(f"crowwing: {posting.listen[0]}:{posting.listen[1]}: {wrong.strerror}", file=sys.stderr)
        return 1
    return 0
