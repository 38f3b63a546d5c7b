"""The files that the deploy files name exist, and packages that their builds use are listed."""

import re
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parents[1]
MAX_POLICY_LINES, MAX_LINE_LENGTH = 640, 110  # non-blank lines with comments; limits set by the operators
# Programs and modules that a build uses, with the Debian package that has each.
PACKAGES = {r"\bpython3\b": "python3", r"-m pip\b": "python3-pip", r"-m venv\b": "python3-venv"}


def deploy_file(name: str) -> dict[str, Any]:
    """One of the two deploy files."""
    return tomllib.loads((ROOT / "deploy" / name).read_text())


@pytest.mark.parametrize("name", ["system.toml", "balancer.toml"])
def test_a_build_uses_no_package_that_is_not_listed(name: str) -> None:
    deploy = deploy_file(name)
    commands = deploy["build"].split(".venv/bin/pip")[0]  # pip of the venv comes with it
    needed = {package for pattern, package in PACKAGES.items() if re.search(pattern, commands)}
    assert needed == set(deploy["packages"])


def test_listed_backend_files_exist_and_all_decision_modules_are_listed() -> None:
    deploy = deploy_file("balancer.toml")
    assert all((ROOT / path).exists() for path in deploy["policy"] + deploy["node"])
    assert {str(path.relative_to(ROOT)) for path in (ROOT / "crowwing" / "logic").glob("*.py")} == set(
        deploy["policy"]
    )


def test_the_decision_module_is_no_longer_than_the_operators_allow() -> None:
    files = [(ROOT / path).read_text().splitlines() for path in deploy_file("balancer.toml")["policy"]]
    assert sum(bool(line.strip()) for lines in files for line in lines) <= MAX_POLICY_LINES
    assert all(len(line) <= MAX_LINE_LENGTH for lines in files for line in lines)
