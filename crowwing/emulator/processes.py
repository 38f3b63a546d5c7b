"""Runs real backend processes, started the same way as `run` in deploy/balancer.toml.

Processes are monitored and ended by process id only.
"""

import ctypes
import os
import signal
import subprocess
import sys
from pathlib import Path

import orjson

import crowwing
from crowwing.emulator.plan import Plan

ROOT = Path(crowwing.__file__).parent.parent
PR_SET_PDEATHSIG = 1
MEMORY_MB, SOCKETS = 192, 1024
_libc = ctypes.CDLL(None)


def set_parent_death_signal() -> None:
    """Runs in the child: without it, backends would keep running after the emulator is killed."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def configuration(plan: Plan, name: str, host: str, number: int) -> dict:
    """Builds the configuration that the platform would give one backend."""
    machine, below = plan.machine, plan.below
    rate = plan.rate_per_s() / plan.traffic.load
    shares = sum(customer.share for customer in plan.customers)
    settings = {
        "caps": {"max_retry_after": plan.stay_away_most_ms, "retry_after": plan.stay_away_most_ms > 0},
        "family_info": {
            "calls_out": below.fall_multiple * below.slots / plan.backends, "calls_over": below.fall_s * 1000,
            "class_calls": [kind.calls for kind in plan.types], "cpus": machine.cores, "deep_checks": False,
            "downstream": "one_for_all" if any(kind.calls for kind in plan.types) else "none",
            "fresh_for": 0, "gauges": ["core_use", "on_cores"], "halt": "discard",
            "keepalive_max": plan.sidecars.idle_s * 1000, "key_kb": 100, "lingers": below.lingers_ms,
            "passes_deadline": True, "ram_kb": machine.memory_kb, "run_factor": machine.run_factor,
            "signal": "allowance", "worth_without": [0 for _ in plan.types],
        },
        "invariants": {
            "answer_slack": 80, "cold": machine.cold_s * 1000, "cold_from": machine.cold_from,
            "fall_multiple": machine.fall_multiple, "stop_sending_within": plan.grace_ms,
        },
        "lanes": [
            {"name": k.name, "promise": k.expected_ms, "deadline": k.outer_ms, "semantics": k.repeat}
            for k in plan.types
        ],
        "over_share_worth": plan.over_share_credit,
        "realms": [{"name": c.name, "quota_per_s": rate * c.share / shares} for c in plan.customers],
        "servers": plan.backends,
    }  # fmt: skip
    return {
        "name": name, "listen": f"{host}:7001", "agent": f"{host}:7300", "control": f"{host}:8500",
        "backend": f"{host}:5432", "seed": f"{plan.seed * 1000003 + number * 7919 + name_hash(name):016x}",
        "stop_ms": plan.stop_ms, "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "settings": settings,
    }  # fmt: skip


def name_hash(name: str) -> int:
    """Hash that, unlike `hash`, is the same in every process."""
    return sum(ord(letter) * 31**n for n, letter in enumerate(name)) % 9973


class BackendProcess:
    """One backend process; all incarnations of a backend append to the same log file."""

    def __init__(self, folder: Path, config: dict, program: Path | None, operator: Path | None) -> None:
        self.path = folder / f"{config['name']}.json"
        self.path.write_bytes(orjson.dumps(config, option=orjson.OPT_INDENT_2))
        environment = os.environ | {"PROXY_CONFIG": str(self.path), "PYTHONPATH": str(program or ROOT)}
        environment.pop("CROWWING_OPERATOR", None)
        if operator is not None:
            environment["CROWWING_OPERATOR"] = str(operator)
        with (folder / f"{config['name']}.log").open("ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-O", "-m", "crowwing"], stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env=environment, cwd=program or ROOT, preexec_fn=set_parent_death_signal,
            )  # fmt: skip

    def exit_code(self) -> int | None:
        """Returns the exit code, or None while the process runs."""
        return self.child.poll()

    def terminate(self) -> None:
        self.child.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        self.child.kill()
        self.child.wait()
