"""Starts one backend; one plain line and a non-zero exit where it cannot."""

import asyncio
import os
import signal
import sys
from collections.abc import Mapping
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from crowwing.program.backend import Backend
from crowwing.program.configuration import BadConfiguration, read
from crowwing.program.log import Log

if TYPE_CHECKING:
    from crowwing.settings.operator import Operator


def _operator(environment: Mapping[str, str]) -> "Operator | None":
    """The operator file; without one nothing of it is loaded."""
    path = environment.get("CROWWING_OPERATOR")
    if not path:
        return None
    from crowwing.settings.operator import BadOperator
    from crowwing.settings.operator import read as read_operator

    try:
        return read_operator(Path(path))
    except BadOperator as wrong:
        raise BadConfiguration(str(wrong).splitlines()[0]) from None


async def _serve(backend_of: object) -> None:
    await backend_of(asyncio.get_running_loop()).run()


def main() -> int:
    # Guards against the end by a SIGHUP that comes before the loop hears signals: the backend, once it does,
    # reads its configuration again whether one came or not.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        posting = read(os.environ)
        operator = _operator(os.environ)
    except BadConfiguration as wrong:
        print(f"crowwing: {wrong}", file=sys.stderr)
        return 2
    log = Log(posting.name)
    try:
        again = partial(read, os.environ)
        uvloop.run(_serve(lambda loop: Backend(loop, posting, log, again, operator)))
    except OSError as wrong:
        print(f"crowwing: {posting.listen[0]}:{posting.listen[1]}: {wrong.strerror}", file=sys.stderr)
        return 1
    return 0
