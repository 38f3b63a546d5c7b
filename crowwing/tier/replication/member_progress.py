"""What a primary knows of the data of its view's members."""

from collections.abc import Iterable

from crowwing.tier.replication.core import slow_disks
from crowwing.tier.replication.log import EntryLog
from crowwing.tier.replication.terms import LogPosition
from crowwing.tier.replication.timing import (
    MAX_APPEND_BYTES,
    MAX_RESEND_WAIT_S,
    RESEND_AFTER_S,
    SEND_WINDOW_BYTES,
)

DATA_LOST = -1  # acknowledged index of a member that has come back without its data


class MemberProgress:
    """Up to which index each member was sent entries, and has them on disk.

    Attributes:
        acknowledged: index by member, the primary among them.
        sent: index by member, without the primary.
        disk_sync_s: seconds that the disk of each replica takes for a write, as it last told.
    """

    def __init__(self, me: str, members: Iterable[str], last_index: int) -> None:
        """The progress at the start of a view, all of whose members hold the log up to `last_index`."""
        self.acknowledged = dict.fromkeys(members, last_index)
        self.sent = {member: last_index for member in self.acknowledged if member != me}
        self.disk_sync_s: dict[str, float] = {}
        self._progress_at: dict[str, float] = {}  # when each acknowledged more, or began to have to
        self._resend_wait_s: dict[str, float] = {}  # of members that were sent the same entries again

    def next_span(self, member: str, log: EntryLog) -> tuple[int, int] | None:
        """Returns the indexes behind which, and up to which, a member is sent entries next.

        Returns:
            None where it has everything, needs a repair, or its window is full.
        """
        sent = self.sent[member]
        acknowledged = self.acknowledged.get(member, DATA_LOST)
        if acknowledged < 0 or sent >= log.last[1] or sent < log.base[1]:
            return None
        if acknowledged < sent and log.bytes_between(acknowledged, sent) >= SEND_WINDOW_BYTES:
            return None
        return sent, log.index_within(sent, MAX_APPEND_BYTES)

    def mark_sent(self, now: float, member: str, span: tuple[int, int]) -> None:
        """Notes that a member was sent a span."""
        if self.acknowledged[member] >= span[0]:
            self._progress_at[member] = now  # it had nothing to acknowledge before
        self.sent[member] = span[1]

    def acknowledge(self, now: float, member: str, index: int) -> None:
        """Notes up to which index a member has the entries on disk."""
        if index > self.acknowledged.get(member, DATA_LOST) >= 0:
            self.acknowledged[member] = index
            self._progress_at[member] = now
            self._resend_wait_s.pop(member, None)

    def committed(self, members: Iterable[str]) -> int:
        """Returns the index up to which every member has the entries on disk."""
        return min(self.acknowledged[member] for member in members)

    def mark_data_lost(self, member: str) -> None:
        """Notes that a member has come back without its data."""
        self.acknowledged[member] = DATA_LOST

    def is_stalled(self, now: float, member: str) -> bool:
        """Whether a member has not acknowledged more for long, though it was sent more."""
        is_waiting = 0 <= self.acknowledged.get(member, DATA_LOST) < self.sent[member]
        wait_s = self._resend_wait_s.get(member, RESEND_AFTER_S)
        return is_waiting and now - self._progress_at.get(member, now) >= wait_s

    def start_resending(self, now: float, member: str) -> None:
        """Gives a stuck member time to acknowledge what it is sent again, twice as long each time."""
        self._progress_at[member] = now
        wait_s = self._resend_wait_s.get(member, RESEND_AFTER_S)
        self._resend_wait_s[member] = min(MAX_RESEND_WAIT_S, 2 * wait_s)

    def slow_members(self, members: Iterable[str]) -> set[str]:
        """Returns the members whose disk is slow."""
        return slow_disks({member: self.disk_sync_s.get(member, 0.0) for member in members})

    def behind_log(self, base: LogPosition) -> list[str]:
        """Returns the members that the log does not reach back to."""
        return [member for member, sent in self.sent.items() if sent < base[1]]
