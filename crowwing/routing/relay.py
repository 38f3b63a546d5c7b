"""Relay: the one final answer of a ticket, to everyone who waits for it."""

from crowwing.contract import Step
from crowwing.routing.book import Book
from crowwing.routing.slip import Slip


class Relay:
    def __init__(self, book: Book) -> None:
        self.book = book

    def settle(self, slip: Slip, result: bytes) -> None:
        if self._first(slip, "settled"):
            for caller in slip.callers:
                caller.settled(result)
            slip.callers.clear()

    def dismiss(self, slip: Slip, away: float) -> None:
        self._dismiss(slip, away, nowhere_else=False)

    def dismiss_all(self, slip: Slip, away: float) -> None:
        self._dismiss(slip, away, nowhere_else=True)

    def _dismiss(self, slip: Slip, away: float, nowhere_else: bool) -> None:
        if self._first(slip, "dismissed"):
            for caller in slip.callers:
                caller.dismissed(round(away), nowhere_else)
            slip.callers.clear()

    def forfeit(self, slip: Slip, _: float = 0) -> None:
        if self._first(slip, "forfeited"):
            for caller in slip.callers:
                caller.forfeited()
            slip.callers.clear()

    def _first(self, slip: Slip, answer: str) -> bool:
        """Whether it has no answer yet; its body is let go with the answer."""
        if not self.book.holds(not slip.answered, f"{answer} but answered before"):
            return False
        slip.answered, slip.body = True, b""
        self.book.count(answer)
        return True

    def steps(self) -> dict[Step, object]:
        return {Step.DISMISS: self.dismiss, Step.DISMISS_ALL: self.dismiss_all, Step.FORFEIT: self.forfeit}
