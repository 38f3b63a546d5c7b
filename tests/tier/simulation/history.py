"""What clients of a run asked and were told, for the checkers."""

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any


@dataclass
class Call:
    """One call of a client. `status` is None where no answer came."""

    client: str
    kind: str
    key: str
    sent_at: float
    ended_at: float = float("inf")
    status: int | None = None
    value: Any = None

    def told(self) -> bool:
        """Whether there was a clear answer."""
        return self.status is not None and self.status < 500


@dataclass(frozen=True)
class Change:
    """A change of the configuration that an operator sent, perhaps many times."""

    base: int
    version: int
    text: bytes

    @property
    def key(self) -> str:
        """Names the change."""
        return f"{self.base}>{self.version}:{hash_of(self.text)}"


def hash_of(text: bytes) -> str:
    """A short name of a text that is the same in each run."""
    return blake2b(text, digest_size=6).hexdigest()


@dataclass
class History:
    """All calls of a run, in the order in which they were sent, and what was done to the machines."""

    calls: list[Call] = field(default_factory=list)
    changes: dict[str, Change] = field(default_factory=dict)
    jobs: dict[str, tuple[str, ...]] = field(default_factory=dict)  # items by lot
    runs: list[tuple[float, str, str]] = field(default_factory=list)  # time, lot, item
    events: list[tuple[float, str]] = field(default_factory=list)

    def begin(self, now: float, client: str, kind: str, key: str) -> Call:
        """Notes a call that is sent now."""
        call = Call(client, kind, key, now)
        self.calls.append(call)
        return call

    def note(self, now: float, text: str) -> None:
        """Notes a fault."""
        self.events.append((now, text))

    def lines(self) -> list[str]:
        """The history as text, to be compared between plays."""
        calls = [
            f"{x.sent_at:.6f} {x.ended_at:.6f} {x.client} {x.kind} {x.key} {x.status} {x.value!r}"
            for x in self.calls
        ]
        runs = [f"{at:.6f} {job} {item}" for at, job, item in self.runs]
        return calls + runs + [f"{at:.6f} {text}" for at, text in self.events]
