"""What a step of a replica asks its owner to carry out: records for the disk, and messages."""

from dataclasses import dataclass, field

from crowwing.tier.replication.messages import Message
from crowwing.tier.replication.records import Record


@dataclass
class Output:
    """Records to be put on disk, and messages with their receivers.

    Attributes:
        records: in the order in which they are to be written.
        durable: messages that are to be sent once the records are on disk.
        immediate: messages that are to be sent at once.
    """

    records: list[Record] = field(default_factory=list)
    durable: list[tuple[str, Message]] = field(default_factory=list)
    immediate: list[tuple[str, Message]] = field(default_factory=list)


class Outbox:
    """Collects the output of the steps since it was last taken."""

    def __init__(self, me: str) -> None:
        """An empty outbox of the replica `me`."""
        self._me = me
        self._output = Output()

    @property
    def has_records(self) -> bool:
        """Whether a record waits to be put on disk."""
        return bool(self._output.records)

    def record(self, record: Record) -> None:
        """Adds a record that is to be put on disk."""
        self._output.records.append(record)

    def send(self, to: str, message: Message, durable: bool = False) -> None:
        """Adds a message; one that is `durable`, or for this replica itself, waits for the records."""
        waits = durable or to == self._me
        (self._output.durable if waits else self._output.immediate).append((to, message))

    def take(self) -> Output:
        """Returns all output since the last call."""
        output, self._output = self._output, Output()
        return output
