"""One JSON line an event on standard output. A full pipe costs lines, never time."""

import os
import time

import orjson

LINE_MOST = 4000  # a pipe takes a line of up to this whole or not at all


class Log:
    def __init__(self, name: str, descriptor: int = 1) -> None:
        self.name, self.descriptor = name, descriptor
        self.lost = self.seq = 0
        self.life = os.urandom(4).hex()  # tells two starts under one name apart
        os.set_blocking(descriptor, False)

    def write(self, what: str, **facts: object) -> None:
        self.seq += 1  # a line that is lost leaves a gap
        line = {
            "at": time.time_ns() // 1000, "backend": self.name, "life": self.life, "seq": self.seq,
            "event": what, **facts,
        }  # fmt: skip
        if self.lost:
            line["lines_lost"] = self.lost
        try:
            data = orjson.dumps(line, default=str)
        except TypeError:  # text that is no Unicode, such as a path of the system's
            data = orjson.dumps(
                {key: value if type(value) is int else ascii(value) for key, value in line.items()}
            )
        if len(data) > LINE_MOST:
            cut = {key: value[-1000:] for key, value in line.items() if isinstance(value, str)}
            data = orjson.dumps(line | cut, default=str)[:LINE_MOST]
        try:
            os.write(self.descriptor, data + b"\n")
            self.lost = 0
        except OSError:
            self.lost += 1
