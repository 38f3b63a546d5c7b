"""Builds as deploy/*.toml say on a machine with nothing but the listed packages: `make clean-build`.

The tree is copied as git knows it into a fresh folder; the path holds the distribution's programs only, pip
has no cache and may take wheels alone. Then each program is started from what was built.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
DISTRIBUTION_PATH = "/usr/bin:/bin"
KEPT_VARIABLES = ("LANG", "PIP_CERT", "SSL_CERT_FILE")  # a registry may be reached through a proxy
SYSTEM_FILE, BACKEND_FILE = "deploy/system.toml", "deploy/balancer.toml"
STARTED_LINES = {"front": "front INFO listening", "store": "store INFO store_started"}
START_LIMIT_S = 60.0
HOST = "127.1.250.{}"
SETTINGS = """
node = "{role}-1"
role = "{role}"
ip = "{host}"
zone = "z1"
portRange = [17720, 17735]
seeds = ["{seed}:17730"]
bootstrap = true
dataDir = "{data}"
[listen]
{listen}
"""
LISTEN = {"front": 'front = "{host}:17731"\nready = "{host}:17732"', "store": 'control = "{host}:17730"'}


@dataclass(frozen=True)
class CleanMachine:
    """A folder with the tree, and the environment of a machine that has the listed packages alone."""

    tree: Path
    home: Path

    def environment(self, **variables: str) -> dict[str, str]:
        """The variables of a build or a program."""
        kept = {name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ}
        pip = {"PIP_ONLY_BINARY": ":all:", "PIP_NO_CACHE_DIR": "1", "PIP_DISABLE_PIP_VERSION_CHECK": "1"}
        return {"PATH": DISTRIBUTION_PATH, "HOME": str(self.home), **kept, **pip, **variables}

    def build(self, deploy_file: str) -> None:
        """Runs the build of a deploy file; raises CalledProcessError."""
        command = tomllib.loads((self.tree / deploy_file).read_text())["build"]
        began = time.monotonic()
        subprocess.run(["/bin/sh", "-c", command], cwd=self.tree, env=self.environment(), check=True)
        print(f"{deploy_file}: built in {time.monotonic() - began:.0f} s", flush=True)

    def start_role(self, role: str, number: int, seed_number: int) -> None:
        """Starts a role of the tier until it says that it runs; raises TimeoutError or RuntimeError."""
        host = HOST.format(number)
        settings = self.home / f"{role}.toml"
        settings.write_text(
            SETTINGS.format(
                role=role, host=host, seed=HOST.format(seed_number), data=self.home / "data",
                listen=LISTEN[role].format(host=host),
            )
        )  # fmt: skip
        command = tomllib.loads((self.tree / SYSTEM_FILE).read_text())["roles"][role]["run"].split()
        environment = self.environment(
            CROWWING_SETTINGS=str(settings), PYTHONPATH=str(self.tree / "target" / "deps")
        )
        began = time.monotonic()
        self._run_until(command, environment, STARTED_LINES[role])
        print(f"{role}: runs after {time.monotonic() - began:.1f} s", flush=True)

    def start_backend(self) -> None:
        """Starts the single backend far enough to say that its settings are wrong, which loads all of it."""
        environment = self.environment(PROXY_CONFIG="/nonexistent")
        command = tomllib.loads((self.tree / BACKEND_FILE).read_text())["run"]
        result = subprocess.run(
            ["/bin/sh", "-c", command], cwd=self.tree, env=environment, capture_output=True, text=True,
            timeout=START_LIMIT_S, check=False,
        )  # fmt: skip
        if result.returncode != 2:
            raise RuntimeError(result.stdout + result.stderr)
        print("backend: loads, and names its wrong settings", flush=True)

    def _run_until(self, command: list[str], environment: dict[str, str], line: str) -> None:
        log_path = self.home / "log"
        with log_path.open("w") as log:
            process = subprocess.Popen(command, cwd=self.tree, env=environment, stdout=log, stderr=log)
        try:
            deadline = time.monotonic() + START_LIMIT_S
            while line not in log_path.read_text():
                if process.poll() is not None or time.monotonic() > deadline:
                    raise RuntimeError(log_path.read_text())
                time.sleep(0.05)
        finally:
            process.send_signal(signal.SIGTERM)
            process.wait(START_LIMIT_S)


def main() -> int:
    """The command."""
    with tempfile.TemporaryDirectory(prefix="clean-build-") as folder:
        machine = CleanMachine(Path(folder) / "tree", Path(folder) / "home")
        machine.home.mkdir()
        subprocess.run(["/usr/bin/env", "git", "clone", "-q", str(ROOT), str(machine.tree)], check=True)
        machine.build(SYSTEM_FILE)
        machine.start_role("store", 1, 1)
        machine.start_role("front", 2, 1)
        machine.build(BACKEND_FILE)
        machine.start_backend()
    return 0


if __name__ == "__main__":
    sys.exit(main())
