"""A replica that is the primary: appends entries, confirms its role, and sees to the view's members."""

import logging

from crowwing.tier.replication import messages
from crowwing.tier.replication.candidate import Candidate
from crowwing.tier.replication.replica_state import Role, majority, slow_disks
from crowwing.tier.replication.timing import (
    ANNOUNCED_S,
    APPEND_BYTES,
    GONE_S,
    HANDOVER_PAUSE_S,
    HEARTBEAT_S,
    JOIN_FRESH_S,
    MEMBER_SILENT_S,
    NEAR_ENTRIES,
    RECONFIGURE_PAUSE_S,
    RESEND_S,
    SLOW_SYNC_S,
    STICKY_S,
    WINDOW_BYTES,
)

log = logging.getLogger("crowwing.replication")


class Primary(Candidate):
    """Decides the order of entries while its view holds."""

    def propose(self, now: float, payload: bytes) -> int | None:
        """Appends one entry; gives its index, or None where this is not the primary."""
        if self.role is not Role.PRIMARY or self.view is None:
            return None
        entry = messages.LogEntry(self.promised, self.log.last[1] + 1, payload)
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
        if acked < sent and self.log.bytes_between(acked, sent) >= WINDOW_BYTES:
            return None
        return sent, self.log.index_within(sent, APPEND_BYTES)

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
        others = [x for x in self.view.members if x != self.me and x not in self.excluded]
        if others:
            slow = self._slow_members()
            freshest = max(
                others, key=lambda x: (x not in slow, self._acked.get(x, 0), self._heard.get(x, 0.0))
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
        for old in [number for number, at in self._heartbeat_sent_at.items() if now - at > 2.0]:
            del self._heartbeat_sent_at[old], self._heartbeat_acks[old]
        joiners = {x for x, at in self._joiners.items() if now - at < 2 * JOIN_FRESH_S}
        heartbeat = messages.Heartbeat(self.promised, self.me, self._heartbeat_sequence, self.view)
        receivers = {*self.view.witnesses, *joiners}
        if now - self._announced_at >= ANNOUNCED_S:  # who lost its disk may have no other way to hear of us
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

    def _on_heartbeat_response(self, now: float, x: messages.HeartbeatResponse) -> None:
        if self.role is not Role.PRIMARY or x.term != self.promised or self.view is None:
            return
        if not x.recovered:
            return  # counts as silent: it can neither promise nor keep anything yet
        self._heard[x.sender] = now
        self._sync_s[x.sender] = x.sync_s
        if x.sequence in self._heartbeat_acks:
            self._heartbeat_acks[x.sequence].add(x.sender)
            if self._has_heartbeat_majority(x.sequence):
                self.confirmed_at = max(self.confirmed_at, self._heartbeat_sent_at[x.sequence])
        behind = self.log.last[1] - x.last[1]
        if x.sender in self.view.members:
            if x.synced == self.promised:
                self._resend_if_stuck(now, x)
            else:  # it has lost its disk since
                self._acked[x.sender] = -1
                self._lost_member(now, x.sender)
        elif x.sender not in self.excluded:
            self._joiners[x.sender] = now  # also one that was shown the primary and did not ask by itself
            near = x.synced == self.promised and 0 <= behind <= NEAR_ENTRIES
            if near and x.sync_s < SLOW_SYNC_S / 2:
                self._ready.add(x.sender)
                return
            self._ready.discard(x.sender)  # a slow disk is shown to be quick again by what is sent
            if now >= self._learner_wait.get(x.sender, now):
                self._learner_wait[x.sender] = now + self._send_sync(x.sender, x.last)

    def _resend_if_stuck(self, now: float, x: messages.HeartbeatResponse) -> None:
        """A member that has not moved for a while is sent again what it has not told to hold."""
        acked = self._acked.get(x.sender, -1)
        if not 0 <= acked < self._sent[x.sender] or now - self._moved_at.get(x.sender, now) < RESEND_S:
            return
        self._moved_at[x.sender] = now
        if x.last[1] >= self._sent[x.sender]:  # only its answer was lost
            self._send(x.sender, messages.AppendRequest(self.promised, self.me, ()))
        elif self.log.contains(x.last):
            self._sent[x.sender] = x.last[1]
            self._send_windows(now, [x.sender])

    def _lost_member(self, now: float, member: str) -> None:
        if now - self._active_since >= RECONFIGURE_PAUSE_S:
            log.info("member %s came back without its data", member)
            self._start_campaign(now)

    def _on_append_response(self, now: float, x: messages.AppendResponse) -> None:
        if self.role is not Role.PRIMARY or x.term != self.promised or self.view is None:
            return
        if x.index > self._acked.get(x.sender, -1) >= 0:
            self._acked[x.sender] = x.index
            self._moved_at[x.sender] = now
        if x.sender != self.me:
            self._heard[x.sender] = now
            if x.sender in self._sent:
                self._send_windows(now, [x.sender])
        self.commit_index = max(self.commit_index, min(self._acked[member] for member in self.view.members))

    def _tick_primary(self, now: float) -> None:
        assert self.view is not None
        if now - self._heartbeat_at >= HEARTBEAT_S:
            self._send_heartbeat(now)
        if now - max(self.confirmed_at, self._active_since) >= MEMBER_SILENT_S:
            self.leader_heard = now - STICKY_S
            self._step_down(now, "no majority of the witnesses answers its heartbeats")
            return
        if now - self._active_since < RECONFIGURE_PAUSE_S:
            return
        if self.disk_stalled:
            self.resign(now, "its disk does not answer")
            return
        self._sync_s[self.me] = self.sync_s
        slow = self._slow_members()
        enough_without = len(self.view.members) - len(slow) >= self.min_replicas
        if self.me in self.excluded or (self.me in slow and enough_without):
            if now - self._handover_at >= HANDOVER_PAUSE_S:
                self._handover_at = now
                self.transfer_leadership(now)
                return
        reason = self._reason_to_reconfigure(now)
        if reason:
            log.info("changes its view: %s", reason)
            self._start_campaign(now)

    def _reason_to_reconfigure(self, now: float) -> str:
        assert self.view is not None
        silent = [x for x in self.view.members if x != self.me and now - self._heard[x] >= MEMBER_SILENT_S]
        if silent:
            return f"no answer from {', '.join(silent)}"
        cut_off = [x for x, sent in self._sent.items() if sent < self.log.base[1]]
        if cut_off:
            return f"the log does not reach back to {', '.join(cut_off)}"
        slow = self._slow_members()
        if slow and len(self.view.members) - len(slow) >= self.min_replicas:
            return f"the disk of {', '.join(sorted(slow))} is slow"
        leaving = self.excluded & {*self.view.members, *self.view.witnesses}
        if leaving and len(set(self.view.witnesses) - leaving) >= self.min_witnesses:
            return f"{', '.join(sorted(leaving))} is to leave"
        ready = {x for x in self._ready if now - self._heard.get(x, -1e9) < 2 * HEARTBEAT_S}
        if ready:
            return f"{', '.join(sorted(ready))} has caught up"
        gone = [w for w in self.view.witnesses if now - self._heard.get(w, now) >= GONE_S and w != self.me]
        if gone and len(self.view.witnesses) - 1 >= self.min_witnesses:
            return f"{', '.join(gone)} is gone"
        return ""

    def _slow_members(self) -> set[str]:
        assert self.view is not None
        return slow_disks({member: self._sync_s.get(member, 0.0) for member in self.view.members})
