"""The output of a step of a replica: records to write to disk, and messages to send."""

from dataclasses import dataclass, field

from crowwing.tier.replication.messages import Message
from crowwing.tier.replication.records import Record


@dataclass
class Output:
    """Records to write, and messages with their receivers.

    Attributes:
        records: in the order in which they have to be written.
        durable: messages to send only once the records are on disk.
        immediate: messages to send at once.
    """

    records: list[Record] = field(default_factory=list)
    durable: list[tuple[str, Message]] = field(default_factory=list)
    immediate: list[tuple[str, Message]] = field(default_factory=list)


class Outbox:
    """Collects the output of steps until it is taken."""

    def __init__(self, me: str) -> None:
        """An empty outbox of replica `me`."""
        self._me = me
        self._output = Output()

    @property
    def has_records(self) -> bool:
        """Whether there is a record that has not been taken."""
        return bool(self._output.records)

    def record(self, record: Record) -> None:
        """Adds a record to write to disk."""
        self._output.records.append(record)

    def send(self, to: str, message: Message, durable: bool = False) -> None:
        """Adds a message; a `durable` one, and any to this replica itself, waits for the records."""
        waits = durable or to == self._me
        (self._output.durable if waits else self._output.immediate).append((to, message))

    def take(self) -> Output:
        """Returns all output since the last call."""
        output, self._output = self._output, Output()
        return output
