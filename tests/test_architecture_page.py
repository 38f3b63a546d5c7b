"""The files and functions that docs/architecture.md names exist."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs" / "architecture.md"
NAMED = re.compile(r"`((?:tier|logic|program|simulator_adapter|emulator)/[a-z_/]+\.py)(?::([A-Za-z_.]+))?`")


def defined_in(path: Path) -> set[str]:
    """Dotted names of the classes and functions of a module."""
    names: set[str] = set()

    def visit(node: ast.AST, prefix: str) -> None:
        for child in ast.iter_child_nodes(node):
            if isinstance(child, (ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)):
                names.add(prefix + child.name)
                visit(child, f"{prefix}{child.name}.")

    visit(ast.parse(path.read_text()), "")
    return names


def test_the_page_names_files_and_functions() -> None:
    assert len(NAMED.findall(PAGE.read_text())) > 40


@pytest.mark.parametrize(("path", "name"), sorted(set(NAMED.findall(PAGE.read_text()))))
def test_each_named_file_and_function_exists(path: str, name: str) -> None:
    file = ROOT / "crowwing" / path
    assert file.is_file(), f"{path} does not exist"
    assert not name or name in defined_in(file), f"{path} has no {name}"
