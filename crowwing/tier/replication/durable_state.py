"""The terms and the view that a replica is bound to, as its disk keeps them."""

from collections.abc import Iterable

from crowwing.tier.replication.output import Outbox
from crowwing.tier.replication.records import AcceptedViewRecord, PromisedTermRecord, SyncedTermRecord
from crowwing.tier.replication.terms import FIRST_TERM, NO_TERM, Term, View


class DurableState:
    """Changes go into the outbox as records; a message that tells of one has to wait for the disk.

    Attributes:
        promised: the highest term that this replica has promised or accepted.
        view: the highest view that it has accepted or was shown by a primary.
        synced: the term whose candidate or primary last made its data equal to its own.
        recovered: False while it does not know what an earlier incarnation, whose disk is lost, has promised.
    """

    def __init__(self, outbox: Outbox) -> None:
        """The state of a replica that knows nothing yet."""
        self._outbox = outbox
        self.promised: Term = NO_TERM
        self.view: View | None = None
        self.synced: Term = NO_TERM
        self.recovered = False

    def bootstrap(self, members: Iterable[str]) -> None:
        """Begins with the first view, of these members, who are its witnesses too."""
        names = tuple(sorted(members))
        self.recovered = True
        self.promise(FIRST_TERM)
        self.adopt_view(View(FIRST_TERM, names, names))
        self.mark_synced(FIRST_TERM)

    def promise(self, term: Term) -> None:
        """Serves no lower term from now on."""
        self.promised = term
        self._outbox.record(PromisedTermRecord(term))

    def accept(self, view: View) -> None:
        """Accepts a view that its candidate proposes, and with it its term."""
        self.promised = view.term
        self.adopt_view(view)

    def adopt_view(self, view: View) -> None:
        """Keeps a view as the highest that this replica knows of."""
        self.view = view
        self._outbox.record(AcceptedViewRecord(view))

    def mark_synced(self, term: Term) -> None:
        """Notes that the data equals that of the candidate or primary of a term."""
        self.synced = term
        self._outbox.record(SyncedTermRecord(term))
