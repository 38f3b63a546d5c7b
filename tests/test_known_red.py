"""The list of tests that may fail."""

from pathlib import Path

import pytest

from tests.known_red import FILE, MOST, read_known_red


def test_the_list_is_short_and_each_line_names_a_test_that_is_there() -> None:
    for one in read_known_red():
        path, _, name = one.test.partition("::")
        assert f"def {name.split('[')[0]}(" in (FILE.parent / path).read_text()


@pytest.mark.parametrize("text", ["a | b\n", "a |  | c\n", "a | b | c\n" * (MOST + 1)])
def test_a_line_without_its_cause_or_one_too_many_is_refused(tmp_path: Path, text: str) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(text)
    with pytest.raises(ValueError):
        read_known_red(path)
