"""Loaded by Python at the start of a tested process: logs forbidden audit events to the file WATCHED."""

import os
import sys

FORBIDDEN = {
    "subprocess.Popen", "os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.spawn", "os.system",
    "pty.spawn", "ctypes.dlopen",
}  # fmt: skip
LOG_FILE = os.open(os.environ["WATCHED"], os.O_WRONLY | os.O_APPEND)


def log_event(event: str, arguments: tuple) -> None:
    if event in FORBIDDEN:
        os.write(LOG_FILE, f"{event} {arguments[:1]}\n".encode())


sys.addaudithook(log_event)
