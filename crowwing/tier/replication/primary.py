"""A replica that is the primary: appends entries, confirms its role, and sees to the view's members."""

import logging

from crowwing.tier.replication import messages
from crowwing.tier.replication.candidate import Candidate
from crowwing.tier.replication.records import LogEntry
from crowwing.tier.replication.replica_state import Role, slow_disks
from crowwing.tier.replication.terms import majority
from crowwing.tier.replication.timing import (
    ANNOUNCEMENT_INTERVAL_S,
    HEARTBEAT_HISTORY_S,
    HEARTBEAT_INTERVAL_S,
    JOIN_REQUEST_VALID_S,
    LEADER_STICKINESS_S,
    MAX_APPEND_BYTES,
    MAX_LEARNER_LAG_ENTRIES,
    MEMBER_TIMEOUT_S,
    RECONFIGURATION_PAUSE_S,
    RESEND_AFTER_S,
    SEND_WINDOW_BYTES,
    SLOW_DISK_SYNC_S,
    TRANSFER_PAUSE_S,
    WITNESS_GONE_S,
)

log = logging.getLogger("crowwing.replication")


class Primary(Candidate):
    """Decides the order of entries while its view holds."""

    def propose(self, now: float, payload: bytes) -> int | None:
        """Appends one entry; gives its index, or None where this is not the primary."""
        if self.role is not Role.PRIMARY or self.view is None:
            return None
        entry = LogEntry(self.promised, self.log.last[1] + 1, payload)
        self._take_entries([entry])
        self._send(self.me, messages.AppendResponse(self.promised, self.me, entry.index), durable=True)
        return entry.index

    def send_entries(self, now: float) -> None:
        """Sends the other members what was proposed, as far as their windows are open.

        To be called when the own disk begins a write, since a commit waits for that write anyway.
        """
        if self.role is Role.PRIMARY:
            self._send_windows(now, list(self._sent))

    def _send_windows(self, now: float, members: list[str]) -> None:
        """Members that are sent the same entries are sent the same message, so that it is encoded once."""
        appends: dict[tuple[int, int], messages.AppendRequest] = {}
        for member in members:
            while (span := self._next_span(member)) is not None:
                if span not in appends:
                    appends[span] = messages.AppendRequest(self.promised, self.me, self.log.after(*span))
                if self._acked[member] >= span[0]:
                    self._moved_at[member] = now  # it had nothing to answer before
                self._sent[member] = span[1]
                self._send(member, appends[span])

    def _next_span(self, member: str) -> tuple[int, int] | None:
        """The indexes behind which, and up to which, a member is sent entries next."""
        sent, acked = self._sent[member], self._acked.get(member, -1)
        if acked < 0 or sent >= self.log.last[1] or sent < self.log.base[1]:
            return None
        if acked < sent and self.log.bytes_between(acked, sent) >= SEND_WINDOW_BYTES:
            return None
        return sent, self.log.index_within(sent, MAX_APPEND_BYTES)

    def start_heartbeat(self, now: float) -> int:
        """Starts a round of heartbeats at once, and gives its number."""
        self._send_heartbeat(now)
        return self._heartbeat_sequence

    def is_heartbeat_confirmed(self, number: int) -> bool:
        """Whether a majority of the witnesses has answered this round or a later one."""
        return any(number <= later and self._has_heartbeat_majority(later) for later in self._heartbeat_acks)

    def transfer_leadership(self, now: float) -> None:
        """Gives up the lease and hands the role over, where this is the primary and another can take it.

        The lease goes first: the new primary's witnesses don't wait until it would have ended.
        """
        if self.role is not Role.PRIMARY or self.view is None:
            return
        others = [member for member in self.view.members if member != self.me and member not in self.excluded]
        if others:
            slow = self._slow_members()
            freshest = max(
                others,
                key=lambda member: (
                    member not in slow,
                    self._acked.get(member, 0),
                    self._heard.get(member, 0.0),
                ),
            )
            self._lease_released = True
            self._send(freshest, messages.LeadershipTransfer(self.promised, self.me))

    def resign(self, now: float, why: str) -> None:
        """Stops leading because its own machine can't go on; another member is asked to take over."""
        self.transfer_leadership(now)
        self._step_down(now, why)
        self.leader = None

    def _send_heartbeat(self, now: float) -> None:
        assert self.view is not None
        self._heartbeat_at = now
        self._heartbeat_sequence += 1
        self._heartbeat_sent_at[self._heartbeat_sequence] = now
        self._heartbeat_acks[self._heartbeat_sequence] = {self.me}
        for old in [
            number for number, at in self._heartbeat_sent_at.items() if now - at > HEARTBEAT_HISTORY_S
        ]:
            del self._heartbeat_sent_at[old], self._heartbeat_acks[old]
        joiners = {member for member, at in self._joiners.items() if now - at < 2 * JOIN_REQUEST_VALID_S}
        heartbeat = messages.Heartbeat(self.promised, self.me, self._heartbeat_sequence, self.view)
        receivers = {*self.view.witnesses, *joiners}
        if (
            now - self._announced_at >= ANNOUNCEMENT_INTERVAL_S
        ):  # who lost its disk may have no other way to hear of us
            self._announced_at = now
            receivers |= self.announced - self.excluded
        for other in sorted(receivers - {self.me}):
            self._send(other, heartbeat)
        if self._has_heartbeat_majority(self._heartbeat_sequence):
            self.confirmed_at = now

    def _has_heartbeat_majority(self, number: int) -> bool:
        assert self.view is not None
        answered = self._heartbeat_acks[number] & set(self.view.witnesses)
        return len(answered) >= majority(len(self.view.witnesses))

    def _on_heartbeat_response(self, now: float, response: messages.HeartbeatResponse) -> None:
        if self.role is not Role.PRIMARY or response.term != self.promised or self.view is None:
            return
        if not response.recovered:
            return  # counts as silent: it can neither promise nor keep anything yet
        self._heard[response.sender] = now
        self._sync_s[response.sender] = response.sync_s
        if response.sequence in self._heartbeat_acks:
            self._heartbeat_acks[response.sequence].add(response.sender)
            if self._has_heartbeat_majority(response.sequence):
                self.confirmed_at = max(self.confirmed_at, self._heartbeat_sent_at[response.sequence])
        behind = self.log.last[1] - response.last[1]
        if response.sender in self.view.members:
            if response.synced == self.promised:
                self._resend_if_stuck(now, response)
            else:  # it has lost its disk since
                self._acked[response.sender] = -1
                self._lost_member(now, response.sender)
        elif response.sender not in self.excluded:
            self._joiners[response.sender] = (
                now  # also one that was shown the primary and did not ask by itself
            )
            near = response.synced == self.promised and 0 <= behind <= MAX_LEARNER_LAG_ENTRIES
            if near and response.sync_s < SLOW_DISK_SYNC_S / 2:
                self._ready.add(response.sender)
                return
            self._ready.discard(response.sender)  # a slow disk is shown to be quick again by what is sent
            if now >= self._learner_wait.get(response.sender, now):
                self._learner_wait[response.sender] = now + self._send_sync(response.sender, response.last)

    def _resend_if_stuck(self, now: float, response: messages.HeartbeatResponse) -> None:
        """A member that has not moved for a while is sent again what it has not told to hold."""
        acked = self._acked.get(response.sender, -1)
        if (
            not 0 <= acked < self._sent[response.sender]
            or now - self._moved_at.get(response.sender, now) < RESEND_AFTER_S
        ):
            return
        self._moved_at[response.sender] = now
        if response.last[1] >= self._sent[response.sender]:  # only its answer was lost
            self._send(response.sender, messages.AppendRequest(self.promised, self.me, ()))
        elif self.log.contains(response.last):
            self._sent[response.sender] = response.last[1]
            self._send_windows(now, [response.sender])

    def _lost_member(self, now: float, member: str) -> None:
        if now - self.active_since >= RECONFIGURATION_PAUSE_S:
            log.info("member_lost_data member=%s", member)
            self.start_campaign(now)

    def _on_append_response(self, now: float, response: messages.AppendResponse) -> None:
        if self.role is not Role.PRIMARY or response.term != self.promised or self.view is None:
            return
        if response.index > self._acked.get(response.sender, -1) >= 0:
            self._acked[response.sender] = response.index
            self._moved_at[response.sender] = now
        if response.sender != self.me:
            self._heard[response.sender] = now
            if response.sender in self._sent:
                self._send_windows(now, [response.sender])
        self.commit_index = max(self.commit_index, min(self._acked[member] for member in self.view.members))

    def _tick_primary(self, now: float) -> None:
        assert self.view is not None
        if now - self._heartbeat_at >= HEARTBEAT_INTERVAL_S:
            self._send_heartbeat(now)
        if now - max(self.confirmed_at, self.active_since) >= MEMBER_TIMEOUT_S:
            self.leader_heard = now - LEADER_STICKINESS_S
            self._step_down(now, "no majority of the witnesses answers its heartbeats")
            return
        if now - self.active_since < RECONFIGURATION_PAUSE_S:
            return
        if self.disk_stalled:
            self.resign(now, "its disk does not answer")
            return
        self._sync_s[self.me] = self.sync_s
        slow = self._slow_members()
        enough_without = len(self.view.members) - len(slow) >= self.min_replicas
        if self.me in self.excluded or (self.me in slow and enough_without):
            if now - self._handover_at >= TRANSFER_PAUSE_S:
                self._handover_at = now
                self.transfer_leadership(now)
                return
        reason = self._reason_to_reconfigure(now)
        if reason:
            log.info("view_change_started reason=%r", reason)
            self.start_campaign(now)

    def _reason_to_reconfigure(self, now: float) -> str:
        assert self.view is not None
        silent = [
            member
            for member in self.view.members
            if member != self.me and now - self._heard[member] >= MEMBER_TIMEOUT_S
        ]
        if silent:
            return f"no answer from {', '.join(silent)}"
        cut_off = [member for member, sent in self._sent.items() if sent < self.log.base[1]]
        if cut_off:
            return f"the log does not reach back to {', '.join(cut_off)}"
        slow = self._slow_members()
        if slow and len(self.view.members) - len(slow) >= self.min_replicas:
            return f"the disk of {', '.join(sorted(slow))} is slow"
        leaving = self.excluded & {*self.view.members, *self.view.witnesses}
        if leaving and len(set(self.view.witnesses) - leaving) >= self.min_witnesses:
            return f"{', '.join(sorted(leaving))} is to leave"
        ready = {
            member for member in self._ready if now - self._heard.get(member, -1e9) < 2 * HEARTBEAT_INTERVAL_S
        }
        if ready:
            return f"{', '.join(sorted(ready))} has caught up"
        gone = [
            w for w in self.view.witnesses if now - self._heard.get(w, now) >= WITNESS_GONE_S and w != self.me
        ]
        if gone and len(self.view.witnesses) - 1 >= self.min_witnesses:
            return f"{', '.join(gone)} is gone"
        return ""

    def _slow_members(self) -> set[str]:
        assert self.view is not None
        return slow_disks({member: self._sync_s.get(member, 0.0) for member in self.view.members})
