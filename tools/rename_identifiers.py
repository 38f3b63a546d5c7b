"""Renames identifiers in Python sources: `python -m tools.rename_identifiers RENAMES.toml PATH...`.

A file of renames has up to three tables, each from old to new names:

- `[identifiers]`: every name, attribute, parameter and keyword argument with exactly that name;
- `[aliases]`: a one-letter or other alias of a module (`m = "messages"` turns `m.View` into `messages.View`);
- `[qualified."messages"]`: names that are reached through that module, in its own file, or imported from it.

Strings and comments stay as they are: they are prose, and some of them are read by other processes.
"""

import argparse
import sys
import tomllib
from pathlib import Path
from typing import Any

import libcst as cst


class Renamer(cst.CSTTransformer):
    """Renames the identifiers of one module."""

    def __init__(self, renames: dict[str, Any], module_name: str) -> None:
        super().__init__()
        self._identifiers: dict[str, str] = dict(renames.get("identifiers", {}))
        self._aliases: dict[str, str] = renames.get("aliases", {})
        self._qualified: dict[str, dict[str, str]] = renames.get("qualified", {})
        self._active_aliases: dict[str, str] = {}
        self._by_name: dict[str, str] = dict(self._qualified.get(module_name, {}))

    def visit_ImportFrom(self, node: cst.ImportFrom) -> None:  # noqa: N802  the name is libcst's
        """Notes which aliases and which names of renamed modules this module uses."""
        if isinstance(node.names, cst.ImportStar) or node.module is None:
            return
        source = cst.Module([]).code_for_node(node.module).rsplit(".", 1)[-1]
        for imported in node.names:
            name = cst.Module([]).code_for_node(imported.name)
            alias = imported.evaluated_alias
            if alias is not None and self._aliases.get(alias) == name:
                self._active_aliases[alias] = name
            if name in self._qualified.get(source, {}):
                self._by_name[name] = self._qualified[source][name]

    def leave_ImportAlias(self, original: cst.ImportAlias, updated: cst.ImportAlias) -> cst.ImportAlias:  # noqa: N802
        """Drops an alias that gives way to the module's own name."""
        if original.evaluated_alias in self._active_aliases:
            return updated.with_changes(asname=None)
        return updated

    def leave_Attribute(self, original: cst.Attribute, updated: cst.Attribute) -> cst.Attribute:  # noqa: N802
        """Renames what is reached through a module."""
        if not isinstance(updated.value, cst.Name) or not isinstance(original.attr, cst.Name):
            return updated
        module_name = updated.value.value
        new = self._qualified.get(module_name, {}).get(original.attr.value)
        return updated if new is None else updated.with_changes(attr=cst.Name(new))

    def leave_Name(self, original: cst.Name, updated: cst.Name) -> cst.Name:  # noqa: N802
        """Renames a plain identifier."""
        for table in (self._active_aliases, self._by_name, self._identifiers):
            if original.value in table:
                return updated.with_changes(value=table[original.value])
        return updated


def rename(path: Path, renames: dict[str, Any]) -> bool:
    """Rewrites one file; whether it changed."""
    source = path.read_text()
    tree = cst.parse_module(source)
    code = tree.visit(Renamer(renames, path.stem)).code
    if code != source:
        path.write_text(code)
    return code != source


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("renames", type=Path)
    parser.add_argument("paths", type=Path, nargs="+")
    options = parser.parse_args()
    renames = tomllib.loads(options.renames.read_text())
    for root in options.paths:
        for path in sorted(root.rglob("*.py")) if root.is_dir() else [root]:
            if rename(path, renames):
                print(path)
    return 0


if __name__ == "__main__":
    sys.exit(main())
