"""Each checker reports a history that violates its guarantee and accepts one that does not."""

from crowwing.tier.distribution.documents import SIDECARS, Document
from tests.tier.simulation.checkers.batch_jobs import check_batch_jobs, check_read_back
from tests.tier.simulation.checkers.configuration import check_configuration
from tests.tier.simulation.checkers.distribution import check_documents
from tests.tier.simulation.history import Call, Change, History, hash_of

A, B = Change(0, 3, b"a"), Change(0, 3, b"b")
C = Change(3, 5, b"c")


def configurations(*calls: Call) -> History:
    """A history of changes and reads."""
    history = History(list(calls))
    history.changes = {change.key: change for change in (A, B, C)}
    return history


def put(change: Change, sent: float, status: int | None) -> Call:
    """A change that was sent once."""
    return Call("operator-1", "put", change.key, sent, sent + 0.5, status)


def read(change: Change, sent: float) -> Call:
    """A read that gave a change's text."""
    return Call("operator-1", "read", "", sent, sent + 0.5, 200, content(change))


def content(change: Change) -> tuple[int, str]:
    """Version and text as they are read."""
    return change.version, hash_of(change.text)


def test_retained_changes_give_no_violation() -> None:
    history = configurations(put(A, 1, None), put(A, 2, 200), put(B, 3, 412), read(A, 4), put(C, 5, 200))
    assert not check_configuration(history, content(C))


def test_two_changes_confirmed_on_one_base_are_detected() -> None:
    assert check_configuration(configurations(put(A, 1, 200), put(B, 1, 200)), content(A))


def test_an_accepted_change_that_is_rejected_later_is_detected() -> None:
    history = configurations(put(A, 1, 200), put(C, 2, 200), put(A, 3, 412))
    assert any("then refused" in x for x in check_configuration(history, content(C)))


def test_a_change_that_is_the_base_of_another_counts_as_accepted() -> None:
    history = configurations(put(A, 1, None), put(C, 2, 200), put(A, 3, 412))
    history.changes.pop(B.key)
    assert any("then refused" in x for x in check_configuration(history, content(C)))


def test_a_valid_change_that_is_rejected_is_detected() -> None:
    assert any("newest" in x for x in check_configuration(configurations(put(A, 1, 412)), (0, "")))


def test_a_stale_read_is_detected() -> None:
    history = configurations(put(A, 1, 200), put(C, 2, 200), read(A, 3))
    assert any("read 3 after 5" in x for x in check_configuration(history, content(C)))


def test_a_lost_change_and_a_missing_final_read_are_detected() -> None:
    history = configurations(put(A, 1, 200), put(C, 2, 200))
    assert check_configuration(history, content(A))
    assert check_configuration(history, None)
    assert check_configuration(history, (5, "another text"))


def jobs(*calls: Call) -> History:
    """A history of one batch job of two items."""
    history = History([Call("c", "submit", "l", 0, 0.5, 202), *calls])
    history.jobs = {"l": ("l.0", "l.1")}
    return history


def page(sent: float, start: int, *results: tuple[str, str, str], total: int = 2) -> Call:
    """A read of the batch job."""
    return Call("c", "read", f"l {start}", sent, sent + 0.1, 200, (total, list(results)))


FIRST, SECOND = ("l.0", "completed", "x"), ("l.1", "completed", "y")


def test_a_job_that_is_read_in_order_gives_no_violation() -> None:
    history = jobs(page(1, 0, FIRST), page(2, 1), page(3, 0, FIRST, SECOND), page(5, 2))
    history.runs = [(0.6, "l", "l.0")]
    assert not check_batch_jobs(history) and not check_read_back(history, {"l": 200})


def test_violated_guarantees_of_batch_jobs_are_detected() -> None:
    assert check_batch_jobs(jobs(Call("c", "read", "l 0", 2, 2.1, 404)))
    assert check_batch_jobs(jobs(page(1, 0, FIRST), page(2, 0, SECOND))), "another result at a position"
    assert check_batch_jobs(jobs(page(1, 0, FIRST, FIRST))), "one item at two positions"
    assert check_batch_jobs(jobs(page(1, 0, FIRST), page(4, 0))), "a result that was read has disappeared"
    assert check_batch_jobs(jobs(page(1, 0, FIRST, total=3)))
    assert check_batch_jobs(jobs(page(1, 0, ("k.0", "completed", "x")))), "an item of another job"
    assert check_batch_jobs(jobs(Call("c", "body", "l.0", 1, 2, 200, b"other"))), "another body"
    assert check_read_back(jobs(), {"l": 404})


def test_a_rejected_job_that_runs_is_detected() -> None:
    history = History([Call("c", "submit", "l", 0, 0.5, 503)])
    history.jobs, history.runs = {"l": ("l.0",)}, [(1.0, "l", "l.0")]
    assert check_batch_jobs(history)


def test_different_lists_of_one_version_and_older_lists_are_detected() -> None:
    older, newer = Document(SIDECARS, (1, 1), b"x"), Document(SIDECARS, (2, 1), b"y")
    assert not check_documents({"f": [older, newer], "g": [newer]})
    assert check_documents({"f": [newer, older]})
    assert check_documents({"f": [older], "g": [Document(SIDECARS, (1, 1), b"z")]})
