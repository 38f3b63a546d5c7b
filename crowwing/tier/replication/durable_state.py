"""The promised and synced terms and the accepted view of a replica, which it writes to disk."""

from collections.abc import Iterable

from crowwing.tier.replication.output import Outbox
from crowwing.tier.replication.records import AcceptedViewRecord, PromisedTermRecord, SyncedTermRecord
from crowwing.tier.replication.terms import FIRST_TERM, NO_TERM, Term, View


class DurableState:
    """Changes go to the outbox as records; a message that reports a change has to wait for the disk write.

    Attributes:
        promised: the highest term that this replica has promised or accepted.
        view: the highest view that it has accepted or received from a primary.
        synced: the term in which a candidate or primary last made this replica's data equal to its own.
        recovered: False while the replica has lost its disk and does not know what it promised before.
    """

    def __init__(self, outbox: Outbox) -> None:
        """The state of a replica with an empty disk."""
        self._outbox = outbox
        self.promised: Term = NO_TERM
        self.view: View | None = None
        self.synced: Term = NO_TERM
        self.recovered = False

    def bootstrap(self, members: Iterable[str]) -> None:
        """Adopts the first view, whose members are also its witnesses."""
        names = tuple(sorted(members))
        self.recovered = True
        self.promise(FIRST_TERM)
        self.adopt_view(View(FIRST_TERM, names, names))
        self.mark_synced(FIRST_TERM)

    def promise(self, term: Term) -> None:
        """Promises a term: lower terms are refused from now on."""
        self.promised = term
        self._outbox.record(PromisedTermRecord(term))

    def accept(self, view: View) -> None:
        """Accepts a view that a candidate proposes, and promises its term."""
        self.promised = view.term
        self.adopt_view(view)

    def adopt_view(self, view: View) -> None:
        """Stores `view` as the highest that this replica knows of."""
        self.view = view
        self._outbox.record(AcceptedViewRecord(view))

    def mark_synced(self, term: Term) -> None:
        """Records that the data now equals that of the candidate or primary of `term`."""
        self.synced = term
        self._outbox.record(SyncedTermRecord(term))
