"""Relay: the one final answer of a ticket, to everyone who waits for it."""

from collections.abc import Callable
from contextlib import suppress

from crowwing.routing.book import Book
from crowwing.routing.slip import Caller, Slip


class Relay:
    def __init__(self, book: Book, answered: Callable[[Slip, bool], None]) -> None:
        self.book, self.answered = book, answered

    def settle(self, slip: Slip, result: bytes) -> None:
        self._tell(slip, "settled", lambda caller: caller.settled(result))

    def dismiss(self, slip: Slip, away: float) -> None:
        self._tell(slip, "dismissed", lambda caller: caller.dismissed(round(away), False))

    def dismiss_all(self, slip: Slip, away: float) -> None:
        self._tell(slip, "dismissed", lambda caller: caller.dismissed(round(away), True))

    def forfeit(self, slip: Slip, _: float = 0) -> None:
        self._tell(slip, "forfeited", lambda caller: caller.forfeited())

    def _tell(self, slip: Slip, answer: str, say: Callable[[Caller], None]) -> None:
        """Once only; the body is let go with the answer."""
        if not self.book.holds(not slip.answered, f"{answer} after an answer"):
            return
        slip.answered, slip.body = True, b""
        self.book.count(answer)
        callers, slip.callers = slip.callers, []
        for caller in callers:
            try:
                say(caller)
            except Exception:
                self.book.defect(answer, slip.id)
                with suppress(Exception):
                    caller.forfeited()
        self.answered(slip, answer == "settled")  # only now: nothing comes before the callers' answer
