"""The format of KNOWN-RED.txt."""

from pathlib import Path

import pytest

from tests.known_red import FILE, MAX_ENTRIES, read_known_red


def test_the_list_is_short_and_names_existing_tests() -> None:
    for one in read_known_red():
        path, _, name = one.test.partition("::")
        assert f"def {name.split('[')[0]}(" in (FILE.parent / path).read_text()


@pytest.mark.parametrize("text", ["a | b\n", "a |  | c\n", "a | b | c\n" * (MAX_ENTRIES + 1)])
def test_an_incomplete_or_surplus_line_is_rejected(tmp_path: Path, text: str) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(text)
    with pytest.raises(ValueError):
        read_known_red(path)
