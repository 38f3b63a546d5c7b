"""How far a candidate has come on its way to a new view."""

import enum
from dataclasses import dataclass, field

from crowwing.tier.replication.messages import Promise
from crowwing.tier.replication.peers import NEVER
from crowwing.tier.replication.terms import Term, View
from crowwing.tier.replication.timing import PREPARE_GRACE_S, SYNC_TIMEOUT_S


class Phase(enum.Enum):
    """The phases of a campaign, in their order."""

    PREPARE = "prepare"  # witnesses promise the term
    SYNC = "sync"  # the members to be are brought to the candidate's data
    ACCEPT = "accept"  # witnesses accept the view


@dataclass
class Campaign:
    """One campaign; owned by its Candidate.

    Attributes:
        phase: the present phase.
        since: when it began.
        released: term of the primary that has given up its lease for this campaign, NO_TERM where none has.
        grace_s: how long it waits for further promises once a majority has promised.
        silent: replicas that are known not to respond, and not waited for.
        promises: promises by sender.
        prepared: replicas that were sent a Prepare.
        majority_at: when a majority of the base view's witnesses had promised.
        base: the highest view that was accepted by those who promised.
        targets: replicas that are to be members.
        sync_limit_s: how long the synchronization may take; learners that get on extend it.
        progress_sent_at: when the others were last told that the synchronization goes on.
        resend_at: when each target is sent the data again if it does not respond.
        synced: replicas that hold the candidate's data on disk.
        view: the view that is proposed.
        accepted: replicas that have accepted it.
        phase_s: how long each earlier phase took.
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
        """Begins the next phase."""
        self.phase_s[self.phase] = now - self.since
        self.phase = phase
        self.since = now

    def durations(self, now: float) -> str:
        """How long each phase has taken up to now, as it stands in the log."""
        spans = {**self.phase_s, self.phase: now - self.since}
        return " ".join(f"{phase.value}_s={span_s:.3f}" for phase, span_s in spans.items())

    def left_out(self) -> dict[str, list[str]]:
        """The members of the last view and the targets that are no members of the next one, by the reason.

        Nobody is left out of a campaign that ends before it has chosen its targets.
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
