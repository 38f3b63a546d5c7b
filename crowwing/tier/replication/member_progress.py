"""The replication progress of the members of a view, as tracked by the primary."""

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

DATA_LOST = -1  # acknowledged index of a member that has restarted without its data


class MemberProgress:
    """The index up to which each member was sent entries, and up to which it has them on disk.

    Attributes:
        acknowledged: index by member, including the primary.
        sent: index by member, excluding the primary.
        disk_sync_s: seconds that a write takes on the disk of each replica, as last reported.
    """

    def __init__(self, me: str, members: Iterable[str], last_index: int) -> None:
        """The progress at the start of a view, when all members hold the log up to `last_index`."""
        self.acknowledged = dict.fromkeys(members, last_index)
        self.sent = {member: last_index for member in self.acknowledged if member != me}
        self.disk_sync_s: dict[str, float] = {}
        self._progress_at: dict[str, float] = {}  # last acknowledgement, or first send into an empty window
        self._resend_wait_s: dict[str, float] = {}  # of members that entries were resent to

    def next_span(self, member: str, log: EntryLog) -> tuple[int, int] | None:
        """Returns the span of entries to send to a member next: after the first index, up to the second.

        Returns:
            None if the member has been sent everything, needs a repair, or its window is full.
        """
        sent = self.sent[member]
        acknowledged = self.acknowledged.get(member, DATA_LOST)
        if acknowledged < 0 or sent >= log.last[1] or sent < log.base[1]:
            return None
        if acknowledged < sent and log.bytes_between(acknowledged, sent) >= SEND_WINDOW_BYTES:
            return None
        return sent, log.index_within(sent, MAX_APPEND_BYTES)

    def mark_sent(self, now: float, member: str, span: tuple[int, int]) -> None:
        """Records that a span was sent to a member."""
        if self.acknowledged[member] >= span[0]:
            self._progress_at[member] = now  # nothing was outstanding before
        self.sent[member] = span[1]

    def acknowledge(self, now: float, member: str, index: int) -> None:
        """Records the index up to which a member has the entries on disk."""
        if index > self.acknowledged.get(member, DATA_LOST) >= 0:
            self.acknowledged[member] = index
            self._progress_at[member] = now
            self._resend_wait_s.pop(member, None)

    def committed(self, members: Iterable[str]) -> int:
        """Returns the commit index: up to it, every member has the entries on disk."""
        return min(self.acknowledged[member] for member in members)

    def mark_data_lost(self, member: str) -> None:
        """Records that a member has restarted without its data."""
        self.acknowledged[member] = DATA_LOST

    def is_stalled(self, now: float, member: str) -> bool:
        """Whether entries are outstanding that a member has not acknowledged within its resend time-out."""
        is_waiting = 0 <= self.acknowledged.get(member, DATA_LOST) < self.sent[member]
        wait_s = self._resend_wait_s.get(member, RESEND_AFTER_S)
        return is_waiting and now - self._progress_at.get(member, now) >= wait_s

    def start_resending(self, now: float, member: str) -> None:
        """Restarts the resend time-out of a member, doubled up to MAX_RESEND_WAIT_S."""
        self._progress_at[member] = now
        wait_s = self._resend_wait_s.get(member, RESEND_AFTER_S)
        self._resend_wait_s[member] = min(MAX_RESEND_WAIT_S, 2 * wait_s)

    def slow_members(self, members: Iterable[str]) -> set[str]:
        """Returns the members whose disk is slow."""
        return slow_disks({member: self.disk_sync_s.get(member, 0.0) for member in members})

    def behind_log(self, base: LogPosition) -> list[str]:
        """Returns the members that lack entries which the log no longer holds."""
        return [member for member, sent in self.sent.items() if sent < base[1]]
