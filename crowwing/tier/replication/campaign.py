"""The progress of a campaign for a new view."""

import enum
from dataclasses import dataclass, field

from crowwing.tier.replication.messages import Promise
from crowwing.tier.replication.peers import NEVER
from crowwing.tier.replication.terms import Term, View
from crowwing.tier.replication.timing import PREPARE_GRACE_S, SYNC_TIMEOUT_S


class Phase(enum.Enum):
    """The phases of a campaign, in order."""

    PREPARE = "prepare"  # witnesses promise the term
    SYNC = "sync"  # the future members are synchronized with the candidate's data
    ACCEPT = "accept"  # witnesses accept the view


@dataclass
class Campaign:
    """One campaign; owned by its Candidate.

    Attributes:
        phase: the current phase.
        since: when the current phase began.
        released: term of the primary that has released its lease for this campaign, NO_TERM if none has.
        grace_s: wait for further promises once a majority has promised.
        unresponsive: replicas that are known not to respond; their promises are not waited for.
        promises: promises by sender.
        prepared: replicas that a Prepare was sent to.
        majority_at: when the promises reached a majority of the base view's witnesses.
        base: the highest view among the promises.
        targets: the future members of the view.
        sync_limit_s: time-out of the synchronization; extended while targets make progress.
        progress_sent_at: when SyncInProgress was last sent.
        resend_at: when the data is sent to each target again if it does not respond.
        synced: replicas that have the candidate's data on disk.
        view: the proposed view.
        accepted: replicas that have accepted the proposed view.
        phase_s: duration of each completed phase.
    """

    phase: Phase
    since: float
    released: Term
    grace_s: float = PREPARE_GRACE_S
    unresponsive: frozenset[str] = frozenset()
    promises: dict[str, Promise] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)
    majority_at: float | None = None
    base: View | None = None
    targets: set[str] = field(default_factory=set)
    sync_limit_s: float = SYNC_TIMEOUT_S
    progress_sent_at: float = NEVER
    resend_at: dict[str, float] = field(default_factory=dict)
    synced: set[str] = field(default_factory=set)
    view: View | None = None
    accepted: set[str] = field(default_factory=set)
    phase_s: dict[Phase, float] = field(default_factory=dict)

    def enter(self, phase: Phase, now: float) -> None:
        """Enters the next phase."""
        self.phase_s[self.phase] = now - self.since
        self.phase = phase
        self.since = now

    def durations(self, now: float) -> str:
        """The duration of each phase so far, as written to the log."""
        spans = {**self.phase_s, self.phase: now - self.since}
        return " ".join(f"{phase.value}_s={span_s:.3f}" for phase, span_s in spans.items())

    def left_out(self) -> dict[str, list[str]]:
        """The base view's members and the targets that are not in the new view, by reason.

        Empty for a campaign that ends before it has chosen its targets.
        """
        if self.phase is Phase.PREPARE:
            return {}
        before = set(self.base.members) if self.base is not None else set()
        after = set(self.view.members) if self.view is not None else self.synced
        reasons: dict[str, list[str]] = {}
        for replica in sorted((before | self.targets) - after):
            reasons.setdefault(self._reason_to_leave_out(replica), []).append(replica)
        return reasons

    def _reason_to_leave_out(self, replica: str) -> str:
        if replica not in self.promises:
            return "no promise"
        return "not synchronized" if replica in self.targets else "not chosen"
