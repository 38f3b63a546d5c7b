"""Lists, by file, the lint rules that are not kept yet: `python -m tools.lint_exceptions`.

Writes the table `[tool.ruff.lint.per-file-ignores]` at the end of pyproject.toml. The table only shrinks:
tests/test_lint_exceptions.py compares it with the one that was there when the rules were switched on.
"""

import json
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]
FOLDERS = ("crowwing", "tests", "benchmarks", "tools")
HEADING = "[tool.ruff.lint.per-file-ignores]"
FOR_GOOD = {"tests/**/*.py": ["D1"]}  # the name of a test says what it shows


def findings() -> dict[str, list[str]]:
    """The rules that each file breaks, without any exception but those that stay."""
    ruff = Path(sys.executable).with_name("ruff")
    without = f"lint.per-file-ignores={json.dumps(FOR_GOOD).replace(': ', ' = ')}"
    command = [str(ruff), "check", "--exit-zero", "--output-format", "json", "--config", without, *FOLDERS]
    output = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    found: dict[str, set[str]] = {}
    for finding in json.loads(output):
        path = Path(finding["filename"]).relative_to(ROOT).as_posix()
        found.setdefault(path, set()).add(finding["code"])
    return {path: sorted(codes) for path, codes in sorted(found.items())}


def read_exceptions() -> dict[str, list[str]]:
    """The table as it stands in pyproject.toml, without those that stay."""
    settings = tomllib.loads((ROOT / "pyproject.toml").read_text())
    table = settings["tool"]["ruff"]["lint"].get("per-file-ignores", {})
    return {path: codes for path, codes in table.items() if path not in FOR_GOOD}


def main() -> int:
    """The command."""
    path = ROOT / "pyproject.toml"
    text = path.read_text().split(HEADING)[0].rstrip()
    rows = [f"{json.dumps(name)} = {json.dumps(codes)}" for name, codes in (FOR_GOOD | findings()).items()]
    path.write_text("\n".join([text, "", HEADING, *rows, ""]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
