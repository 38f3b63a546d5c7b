"""The line protocol of the worker agent: parses its notices and encodes commands to it."""

from typing import NamedTuple

MAX_LINE_BYTES = 1024
MAX_BODY_BYTES = 1 << 16


class Greeting(NamedTuple):
    cold: bool
    age: int  # microseconds


class RunEnded(NamedTuple):
    number: int
    id: str
    outcome: str
    duration: int  # microseconds
    result: bytes


class CallRequested(NamedTuple):
    """A run waits for a downstream call."""

    number: int
    id: str
    body: bytes


class Sampled(NamedTuple):
    tag: str
    gauges: tuple[float, ...]


class Exercised(NamedTuple):
    tag: str
    succeeded: bool


class Refusal(NamedTuple):
    command: str
    id: str


class Aside(NamedTuple):
    number: int
    text: str


Notice = Greeting | RunEnded | CallRequested | Sampled | Exercised | Refusal | Aside
RUN_OUTCOMES = ("OK", "ERROR", "STOPPED", "MOOT")


class ProtocolError(ValueError):
    """The data is not valid in this protocol; nothing after it on the connection can be parsed."""


class AgentReader:
    """Incremental parser for one connection; takes bytes split anywhere and returns notices in order."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, view: memoryview) -> list[Notice]:
        self.buffer += view
        notices: list[Notice] = []
        position = 0
        while (line_end := self.buffer.find(b"\r\n", position)) >= 0:
            line = self.buffer[position:line_end].decode("latin-1")
            fields, body, next_position = line.split(" "), b"", line_end + 2
            if fields[0] in ("outcome", "request"):
                size = _integer(fields[-1], MAX_BODY_BYTES)
                if len(self.buffer) < next_position + size + 2:
                    break
                body = bytes(self.buffer[next_position : next_position + size])
                next_position += size + 2
                if self.buffer[next_position - 2 : next_position] != b"\r\n":
                    raise ProtocolError("the body does not end at its stated length")
            notices.append(_notice(fields, body, line))
            position = next_position
        else:
            if len(self.buffer) - position > MAX_LINE_BYTES:
                raise ProtocolError("a line is longer than its limit")
        del self.buffer[:position]
        return notices


def _notice(fields: list[str], body: bytes, line: str) -> Notice:
    match fields:
        case ["outcome", number, request_id, outcome, duration, _] if outcome in RUN_OUTCOMES:
            return RunEnded(_integer(number), request_id, outcome, _microseconds(duration), body)
        case ["request", number, request_id, _]:
            return CallRequested(_integer(number), request_id, body)
        case ["sampled", tag, *gauges]:
            return Sampled(tag, tuple(_number(gauge) for gauge in gauges))
        case ["greeting", ("COLD" | "WARM") as state, age]:
            return Greeting(state == "COLD", _microseconds(age))
        case ["exercised", tag, ("OK" | "ERROR") as outcome]:
            return Exercised(tag, outcome == "OK")
        case ["refusal", command, request_id]:
            return Refusal(command, request_id)
        case ["aside", number, *_]:
            return Aside(_integer(number), line.split(" ", 2)[-1])
    raise ProtocolError(f"not a notice: {line[:80]!r}")


def _integer(text: str, maximum: int = 1 << 62) -> int:
    if not (text.isascii() and text.isdigit() and len(text) < 20 and int(text) <= maximum):
        raise ProtocolError(f"not an integer, or out of range: {text[:40]!r}")
    return int(text)


def _number(text: str) -> float:
    try:
        number = float(text)
    except ValueError:
        raise ProtocolError(f"not a number: {text[:40]!r}") from None
    if not abs(number) < 1e15:
        raise ProtocolError(f"number out of range: {text[:40]!r}")
    return number


def _microseconds(text: str) -> int:
    # The agent sends times in milliseconds.
    number = _number(text)
    if number < 0:
        raise ProtocolError(f"negative time: {text[:40]!r}")
    return round(number * 1000)


def subscribe(number: int) -> bytes:
    return b"subscribe %d\r\n" % number


def launch(request_id: str, kind: str, body: bytes) -> bytes:
    return f"launch {request_id} {kind} {len(body)}\r\n".encode() + body + b"\r\n"


def freeze(request_id: str) -> bytes:
    return f"freeze {request_id}\r\n".encode()


def deliver(request_id: str, reply: bytes) -> bytes:
    return f"deliver {request_id} {len(reply)}\r\n".encode() + reply + b"\r\n"


def sample(tag: str) -> bytes:
    return f"sample {tag}\r\n".encode()


def exercise(tag: str) -> bytes:
    return f"exercise {tag}\r\n".encode()
