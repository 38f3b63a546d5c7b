"""The farm agent's lines: notices that come in, commands that go out."""

from typing import NamedTuple

LINE_MOST = 1024
BLOB_MOST = 1 << 16


class Greeting(NamedTuple):
    cold: bool
    age: int  # microseconds


class Ended(NamedTuple):
    number: int
    id: str
    end: str
    took: int  # microseconds
    result: bytes


class Wants(NamedTuple):
    """A run waits for a call."""

    number: int
    id: str
    body: bytes


class Sampled(NamedTuple):
    tag: str
    gauges: tuple[float, ...]


class Exercised(NamedTuple):
    tag: str
    good: bool


class Refusal(NamedTuple):
    command: str
    id: str


class Aside(NamedTuple):
    number: int
    text: str


Notice = Greeting | Ended | Wants | Sampled | Exercised | Refusal | Aside
ENDS = ("OK", "ERROR", "STOPPED", "MOOT")


class Unreadable(ValueError):
    """What came in is not of this protocol; the link cannot be trusted any further."""


class AgentReader:
    """Takes the bytes of one link in any pieces and gives the notices, in order."""

    def __init__(self) -> None:
        self.rest = bytearray()

    def feed(self, view: memoryview) -> list[Notice]:
        self.rest += view
        found: list[Notice] = []
        at = 0
        while (end := self.rest.find(b"\r\n", at)) >= 0:
            line = self.rest[at:end].decode("latin-1")
            words, blob, after = line.split(" "), b"", end + 2
            if words[0] in ("outcome", "request"):
                size = _whole(words[-1], BLOB_MOST)
                if len(self.rest) < after + size + 2:
                    break
                blob = bytes(self.rest[after : after + size])
                after += size + 2
                if self.rest[after - 2 : after] != b"\r\n":
                    raise Unreadable("the body does not end where its length says")
            found.append(_notice(words, blob, line))
            at = after
        else:
            if len(self.rest) - at > LINE_MOST:
                raise Unreadable("a line over its limit")
        del self.rest[:at]
        return found


def _notice(words: list[str], blob: bytes, line: str) -> Notice:
    match words:
        case ["outcome", number, ident, end, took, _] if end in ENDS:
            return Ended(_whole(number), ident, end, _micros(took), blob)
        case ["request", number, ident, _]:
            return Wants(_whole(number), ident, blob)
        case ["sampled", tag, *gauges]:
            return Sampled(tag, tuple(_number(gauge) for gauge in gauges))
        case ["greeting", ("COLD" | "WARM") as state, age]:
            return Greeting(state == "COLD", _micros(age))
        case ["exercised", tag, ("OK" | "ERROR") as end]:
            return Exercised(tag, end == "OK")
        case ["refusal", command, ident]:
            return Refusal(command, ident)
        case ["aside", number, *_]:
            return Aside(_whole(number), line.split(" ", 2)[-1])
    raise Unreadable(f"no notice: {line[:80]!r}")


def _whole(word: str, most: int = 1 << 62) -> int:
    if not (word.isascii() and word.isdigit() and len(word) < 20 and int(word) <= most):
        raise Unreadable(f"no whole number in its range: {word[:40]!r}")
    return int(word)


def _number(word: str) -> float:
    try:
        number = float(word)
    except ValueError:
        raise Unreadable(f"no number: {word[:40]!r}") from None
    if not abs(number) < 1e15:
        raise Unreadable(f"impossible number: {word[:40]!r}")
    return number


def _micros(word: str) -> int:
    number = _number(word)
    if number < 0:
        raise Unreadable(f"a time below nothing: {word[:40]!r}")
    return round(number * 1000)


def subscribe(number: int) -> bytes:
    return b"subscribe %d\r\n" % number


def launch(ident: str, kind: str, body: bytes) -> bytes:
    return f"launch {ident} {kind} {len(body)}\r\n".encode() + body + b"\r\n"


def freeze(ident: str) -> bytes:
    return f"freeze {ident}\r\n".encode()


def deliver(ident: str, reply: bytes) -> bytes:
    return f"deliver {ident} {len(reply)}\r\n".encode() + reply + b"\r\n"


def sample(tag: str) -> bytes:
    return f"sample {tag}\r\n".encode()


def exercise(tag: str) -> bytes:
    return f"exercise {tag}\r\n".encode()
