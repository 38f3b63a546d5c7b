"""Allowed settings are served by the real command; only invalid ones end with one line and exit code 2."""

import copy
import json
from pathlib import Path

import pytest

from crowwing.server_facts import InvalidSettingsError, decode
from tests.rig import SETTINGS, Sidecar
from tests.street import Street, live_in


def ident(n: int) -> str:
    return f"{n:016x}"


def settings(**family: object) -> dict:
    changed = copy.deepcopy(SETTINGS)
    changed["family_info"] |= family
    return changed


def test_a_deployment_without_a_downstream_service_needs_no_address_for_it(tmp_path: Path) -> None:
    async def scene(street: Street) -> None:
        await street.event("ready")
        side = await Sidecar(street).open()
        assert (await side.ask(Sidecar.ticket(ident(1))))[0] == 200
        # A run that requests a call nevertheless fails at once: there is no downstream service.
        status, _, _ = await side.ask(Sidecar.ticket(ident(2), "look"))
        assert status == 500
        street.signal()
        await street.ended()

    live_in(Street(tmp_path, settings(downstream="none"), backend=None), scene)


def test_calls_without_a_downstream_address_are_refused_at_the_start(tmp_path: Path) -> None:
    async def scene(street: Street) -> None:
        assert await street.process.wait() == 2
        wrong = (await street.process.stderr.read()).decode().splitlines()
        assert len(wrong) == 1 and wrong[0].endswith("'backend' is missing") and not street.lines

    live_in(Street(tmp_path, backend=None), scene)


def test_a_backend_with_no_initial_speed_and_part_of_a_core_serves_from_the_start(tmp_path: Path) -> None:
    async def scene(street: Street) -> None:
        await street.event("ready")
        for n in range(3):
            assert (await (await Sidecar(street).open()).ask(Sidecar.ticket(ident(n))))[0] == 200
        street.signal()
        await street.ended()

    told = settings(cpus=0.8)
    told["invariants"] = told["invariants"] | {"cold_from": 0.0, "cold": 600000.0}
    street = Street(tmp_path, told, stop=900)
    street.farm.greet = b"greeting COLD 0\r\n"
    live_in(street, scene)


@pytest.mark.parametrize("odd", ["1e999", "NaN"])
def test_invalid_numbers_are_one_line(odd: str) -> None:
    text = json.dumps(SETTINGS).replace('"promise": 20000.0', f'"promise": {odd}')
    with pytest.raises(InvalidSettingsError):
        decode(text)
