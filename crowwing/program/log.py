"""Writes one JSON line per event to standard output. Never blocks: lines are dropped if the pipe is full."""

import os
import time

import orjson

MAX_LINE_BYTES = 4000  # a pipe takes a line of up to this length completely or not at all


class Log:
    def __init__(self, name: str, descriptor: int = 1) -> None:
        self.name, self.descriptor = name, descriptor
        self.lost_lines = self.seq = 0
        self.incarnation = os.urandom(4).hex()  # distinguishes restarts under the same name
        os.set_blocking(descriptor, False)

    def write(self, event: str, **fields: object) -> None:
        self.seq += 1  # a dropped line leaves a gap
        line = {
            "at": time.time_ns() // 1000, "backend": self.name, "life": self.incarnation, "seq": self.seq,
            "event": event, **fields,
        }  # fmt: skip
        if self.lost_lines:
            line["lines_lost"] = self.lost_lines
        try:
            data = orjson.dumps(line, default=str)
        except TypeError:  # text that is not valid Unicode, such as a file path
            data = orjson.dumps(
                {key: value if type(value) is int else ascii(value) for key, value in line.items()}
            )
        if len(data) > MAX_LINE_BYTES:
            shortened = {key: value[-1000:] for key, value in line.items() if isinstance(value, str)}
            data = orjson.dumps(line | shortened, default=str)[:MAX_LINE_BYTES]
        try:
            os.write(self.descriptor, data + b"\n")
            self.lost_lines = 0
        except OSError:
            self.lost_lines += 1
