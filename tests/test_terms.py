"""The constraints on what `run` starts: one process, no other program, only TCP and UDP over IPv4.

The command of deploy/balancer.toml is observed until it ends, from outside (/proc) and from inside (an audit
hook).
"""

import ast
import http.client
import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from pathlib import Path

import pytest

from crowwing.emulator import processes
from crowwing.settings import operator, operator_file
from tests.test_program_life import at, told

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
ALL_ON = {
    "records": {"figures_every_ms": 200},
    "storm": {"lowers_repeats": True, "paces_returns": True, "retry_after": True},
}
RUNS_MOST = 5.0  # seconds of CPU time without a wait; the acceptance test counts 20 s as a crash


class Watch(threading.Thread):
    """Samples a process every few milliseconds until it ends; `breaches` returns the constraints it broke."""

    def __init__(self, process: subprocess.Popen) -> None:
        super().__init__(daemon=True)
        self.root = Path(f"/proc/{process.pid}")
        self.seen: set[str] = set()
        self.children: set[str] = set()
        self.reaped = 0  # page faults of children it has waited for
        self.spans: dict[str, tuple[int, int]] = {}  # thread -> waits so far, CPU time at the last of them
        self.longest = 0.0
        self.filters = _status_value(Path("/proc/self/status"), "Seccomp")
        self.start()

    def run(self) -> None:
        try:
            while self._sample():
                time.sleep(0.003)
        except Exception as wrong:  # a failed watch must not pass as one without findings
            self.seen.add(f"the watch itself: {wrong!r}")

    def _sample(self) -> bool:
        try:
            fields = (self.root / "stat").read_text().rpartition(")")[2].split()
            self.reaped = int(fields[8])  # cminflt; readable as long as the process is a zombie
            if fields[0] in "ZX":
                return False
            self._threads()
            self._sockets()
            if _status_value(self.root / "status", "Seccomp") != self.filters:
                self.seen.add("a system-call filter")
        except FileNotFoundError:
            pass  # a thread or descriptor closed meanwhile
        except (OSError, IndexError):
            return self.root.exists()
        return True

    def _threads(self) -> None:
        for thread in (self.root / "task").iterdir():
            self.children |= set((thread / "children").read_text().split())
            waits = int(_status_value(thread / "status", "voluntary_ctxt_switches"))
            used = int((thread / "schedstat").read_text().split()[0])
            before, since = self.spans.get(thread.name, (-1, used))
            if waits != before:
                self.spans[thread.name] = waits, used
            else:
                self.longest = max(self.longest, (used - since) / 1e9)

    def _sockets(self) -> None:
        held = set()
        for descriptor in (self.root / "fd").iterdir():
            target = os.readlink(descriptor)
            if target.startswith("socket:["):
                held.add(target[8:-1])
        known = {kind: self._table(kind) for kind in ("tcp", "udp", "unix")}
        for inode in held & known["unix"].keys():
            if len(known["unix"][inode].split()) > 7:
                self.seen.add("a Unix socket with a name")
        strange = held - known["tcp"].keys() - known["udp"].keys() - known["unix"].keys()
        for kind in ("tcp6", "udp6", "raw", "raw6", "packet", "netlink"):
            if strange & self._table(kind).keys():
                self.seen.add(f"a {kind} socket")

    def _table(self, kind: str) -> dict[str, str]:
        """The sockets of one kind by inode."""
        place = {"unix": 6, "packet": 8, "netlink": 9}.get(kind, 9)
        lines = (self.root / "net" / kind).read_text().splitlines()[1:]
        return {line.split()[place]: line for line in lines}

    def breaches(self, noted: Path) -> set[str]:
        """Call it after the process has ended and before it is reaped."""
        self.join(30)
        found = self.seen | set(noted.read_text().splitlines())
        if self.children:
            found.add("a child")
        if self.reaped:
            found.add("a child that it waited for")
        if self.longest > RUNS_MOST:
            found.add(f"{self.longest:.1f} s of processor time without waiting")
        return found


def _status_value(path: Path, name: str) -> str:
    return re.search(rf"^{name}:\s*(\S+)", path.read_text(), re.MULTILINE)[1]


def watched(words: list[str], tmp_path: Path, **more: str) -> tuple[subprocess.Popen, Watch, Path]:
    noted = tmp_path / "noted"
    noted.touch()
    hook = {"WATCHED": str(noted), "PYTHONPATH": str(ROOT / "tests" / "hook")}
    process = subprocess.Popen(
        words,
        cwd=ROOT,
        env=os.environ | hook | more,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    return process, Watch(process), noted


def until_event(process: subprocess.Popen, *events: str) -> None:
    wanted = set(events)
    while wanted:
        line = process.stdout.readline()
        assert line, f"it ended before {wanted}: {process.stderr.read()}"
        wanted.discard(json.loads(line)["event"])


@pytest.mark.parametrize("switched", [None, ALL_ON])
def test_run_starts_one_process_that_keeps_the_terms_until_it_ends(
    tmp_path: Path, switched: dict | None
) -> None:
    told_at, more = tmp_path / "configuration.json", {}
    if switched is not None:
        (tmp_path / "operator.json").write_text(json.dumps(switched))
        more["CROWWING_OPERATOR"] = str(tmp_path / "operator.json")
    with socket.create_server(("127.0.0.1", 0)) as farm, socket.create_server(("127.0.0.1", 0)) as other:
        with socket.create_server(("127.0.0.1", 0)) as free:
            listen = at(free)
        told_at.write_text(json.dumps(told(listen, at(farm))))
        process, watch, noted = watched(
            ["/bin/sh", "-c", DEPLOY["run"]], tmp_path, PROXY_CONFIG=str(told_at), **more
        )
        link, _ = farm.accept()
        link.sendall(b"greeting WARM 60000\r\n")
        until_event(process, "started", "greeted")
        assert os.path.samefile(f"/proc/{process.pid}/exe", sys.executable), (
            "run must replace its shell by exec"
        )
        for _ in range(3):
            asked = http.client.HTTPConnection(listen, timeout=30)
            asked.request("GET", "/ping")
            assert asked.getresponse().status in (200, 503)
            asked.close()
        told_at.write_text(json.dumps(told(listen, at(other))))
        process.send_signal(signal.SIGHUP)
        until_event(process, "reloaded")
        moved, _ = other.accept()
        process.send_signal(signal.SIGTERM)
        os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)
        assert watch.breaches(noted) == set()
        assert process.communicate(timeout=30)[1] == "" and process.returncode == 0
        assert any(waits > 0 for waits, _ in watch.spans.values()), "nothing was watched"
        link.close()
        moved.close()


@pytest.mark.parametrize(
    ("code", "breach"),
    [
        ("import subprocess; subprocess.run(['/bin/true'])", "a child that it waited for"),
        ("import os; os.fork() or time.sleep(2)", "a child"),
        ("import os; os.system('true')", "os.system (b'true',)"),
        ("import socket; s = socket.create_server(('::1', 0), family=socket.AF_INET6)", "a tcp6 socket"),
        (
            # Abstract names are shared by the whole machine: another run of this test may hold a fixed one.
            "import os, socket; s = socket.socket(socket.AF_UNIX); s.bind(f'\\0x{os.getpid()}')",
            "a Unix socket with a name",
        ),
        ("import ctypes; ctypes.CDLL('libc.so.6')", "ctypes.dlopen ('libc.so.6',)"),
        ("list(iter(lambda: time.process_time() < 5.5, False))", "s of processor time without waiting"),
    ],
)
def test_the_watch_detects_each_kind_of_breach(tmp_path: Path, code: str, breach: str) -> None:
    words = [sys.executable, "-c", f"import time; {code}; time.sleep(1)"]
    process, watch, noted = watched(words, tmp_path)
    os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)
    assert any(breach in found for found in watch.breaches(noted))
    process.communicate(timeout=30)


# The operator file, read by the backend process


def deep(levels: int) -> str:
    return '{"storm":' * levels + "1" + "}" * levels


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ('{"storm": {"window_s": 0.5}}', "$.storm.window_s: is less than 1"),
        ('{"storm": {"prints": ["type", "hue"]}, "stom": {}}', "$.stom: unknown name (and 1 more)"),
        ('{"version": true}', "$.version: is not one of 1"),
        ('{"storm": null}', "$.storm: is not of type object"),
        ("[]", "$: is not of type object"),
        ("", "is not valid JSON"),
        (deep(5000), "is not valid JSON"),
        ('{"records": {"figures_every_ms": NaN}}', "is not valid JSON"),
        ("\xff\xfe", "is not valid JSON"),
        (" " * 10_000_000 + "{}", "is larger than 1024 kB"),
        (None, "No such file"),
        ("folder", "is not a regular file"),
        ("pipe", "is not a regular file"),
        ("/proc/self/mem", "Input/output error"),
    ],
)
def test_an_invalid_operator_file_is_one_line_and_exit_2(tmp_path: Path, text: str | None, says: str) -> None:
    path = tmp_path / "operator.json"
    if text == "folder":
        path.mkdir()
    elif text == "pipe":
        os.mkfifo(path)
    elif text == "/proc/self/mem":
        path = Path(text)
    elif text is not None:
        path.write_text(text, encoding="latin-1")
    (tmp_path / "told.json").write_text(json.dumps(told("127.0.0.1:9", "127.0.0.1:9")))
    environment = os.environ | {"PROXY_CONFIG": str(tmp_path / "told.json"), "CROWWING_OPERATOR": str(path)}
    words = ["/bin/sh", "-c", DEPLOY["run"]]
    ended = subprocess.run(words, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=30)
    assert ended.returncode == 2 and ended.stdout == ""
    line, *more = ended.stderr.splitlines()
    assert not more and line.startswith(f"crowwing: {path}: ") and says in line


def test_the_schema_reader_and_the_types_agree() -> None:
    """The schema has only keywords that the reader knows, and the reader uses the types' defaults."""

    def words(part: object) -> set[str]:
        if isinstance(part, list):
            return set().union(*map(words, part))
        if not isinstance(part, dict):
            return set()
        inner = {n: p for n, p in part.items() if n not in ("properties", "$defs", "default", "enum")}
        named = [*part.get("properties", {}).values(), *part.get("$defs", {}).values()]
        return part.keys() | set().union(*map(words, [*inner.values(), *named]))

    root = operator_file.load_schema()
    assert words(root) <= operator_file.CHECKED_KEYWORDS | operator_file.IGNORED_KEYWORDS
    assert operator_file.SCHEMA_PATH.read_bytes() == operator.schema()
    for part in root["$defs"].values():
        assert part["additionalProperties"] is False, "every section rejects unknown names"
    storm = operator_file.with_defaults({"storm": {}}, root["$defs"]["Operator"], root).storm
    typed = operator.Storm()
    for name in typed.__struct_fields__:
        value = getattr(typed, name)
        assert getattr(storm, name) == (list(value) if isinstance(value, tuple) else value)


# What `build` installs


def imported(start: str) -> set[str]:
    """The top-level packages that a module imports, directly or through others, except for type checking."""
    found, seen, waiting = set(), set(), [start]
    while waiting:
        name = waiting.pop()
        path = ROOT / (name.replace(".", "/") + ".py")
        if name in seen or not path.exists():
            continue
        seen.add(name)
        tree = ast.parse(path.read_text())
        typing = [n for n in ast.walk(tree) if isinstance(n, ast.If) and "TYPE_CHECKING" in ast.dump(n.test)]
        aside = {id(inner) for outer in typing for inner in ast.walk(outer)}
        for node in ast.walk(tree):
            if id(node) in aside:
                continue
            if isinstance(node, ast.Import):
                found |= {alias.name.partition(".")[0] for alias in node.names}
                waiting += [alias.name for alias in node.names]
            elif isinstance(node, ast.ImportFrom):
                found.add(node.module.partition(".")[0])
                waiting += [node.module, *(f"{node.module}.{alias.name}" for alias in node.names)]
    return found - set(sys.stdlib_module_names) - {"crowwing"}


def test_build_installs_exactly_what_run_and_sim_need() -> None:
    assert "requirements.txt" in DEPLOY["build"]
    listed = {line.partition("==")[0] for line in (ROOT / "requirements.txt").read_text().split()}
    assert listed == imported("crowwing.program.main") | imported("crowwing.simulator_adapter.__main__")
    tools = (ROOT / "requirements-tools.txt").read_text().split("\n")
    assert "-r requirements.txt" in tools
    declared = {line.partition("==")[0] for line in tools if "==" in line} | listed
    assert imported("crowwing.cli.__init__") <= declared


def test_the_emulator_starts_backends_as_they_are(tmp_path: Path) -> None:
    """No library is preloaded and no system call filtered; only the external bench does that."""
    folder = {"name": "n1"} | told("127.0.0.1:9", "127.0.0.1:9")
    process = processes.BackendProcess(tmp_path, folder, None, None)
    try:
        root = Path(f"/proc/{process.child.pid}")
        assert "LD_PRELOAD" not in (root / "environ").read_text()
        assert _status_value(root / "status", "Seccomp") == _status_value(
            Path("/proc/self/status"), "Seccomp"
        )
    finally:
        process.kill()
