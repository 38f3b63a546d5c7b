"""The calls of a simulated run's clients and their outcomes, for the checkers."""

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any


@dataclass
class Call:
    """One call of a client. `status` is None if there was no answer."""

    client: str
    kind: str
    key: str
    sent_at: float
    ended_at: float = float("inf")
    status: int | None = None
    value: Any = None

    def is_definite(self) -> bool:
        """Whether the answer tells if the call took effect; 5xx or no answer does not."""
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
    """A short digest of a text, the same in each run."""
    return blake2b(text, digest_size=6).hexdigest()


@dataclass
class History:
    """All calls of a run in the order in which they were sent, the runs of items, and the injected faults."""

    calls: list[Call] = field(default_factory=list)
    changes: dict[str, Change] = field(default_factory=dict)
    jobs: dict[str, tuple[str, ...]] = field(default_factory=dict)  # items by job
    runs: list[tuple[float, str, str]] = field(default_factory=list)  # time, job, item
    events: list[tuple[float, str]] = field(default_factory=list)

    def begin(self, now: float, client: str, kind: str, key: str) -> Call:
        """Records a call that is sent now."""
        call = Call(client, kind, key, now)
        self.calls.append(call)
        return call

    def record_fault(self, now: float, text: str) -> None:
        """Records a fault."""
        self.events.append((now, text))

    def lines(self) -> list[str]:
        """The history as text, to be compared between runs."""
        calls = [
            f"{x.sent_at:.6f} {x.ended_at:.6f} {x.client} {x.kind} {x.key} {x.status} {x.value!r}"
            for x in self.calls
        ]
        runs = [f"{at:.6f} {job} {item}" for at, job, item in self.runs]
        return calls + runs + [f"{at:.6f} {text}" for at, text in self.events]
