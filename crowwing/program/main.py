"""Starts one backend; one plain line and a non-zero exit where it cannot."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from functools import partial
from types import SimpleNamespace

import uvloop

from crowwing.program.backend import Backend
from crowwing.program.configuration import BadConfiguration, read
from crowwing.program.log import Log


def _operator(environment: Mapping[str, str]) -> SimpleNamespace | None:
    """The operator file, checked by a process of its own: what checks it would stay in this one's memory."""
    path = environment.get("CROWWING_OPERATOR")
    if not path:
        return None
    words = [sys.executable, "-m", "crowwing.settings.plain", path]
    checked = subprocess.run(words, capture_output=True, text=True)
    if checked.returncode:
        lines = checked.stderr.splitlines() or ["could not be checked"]
        raise BadConfiguration(lines[0])
    return json.loads(checked.stdout, object_hook=lambda told: SimpleNamespace(**told))


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
