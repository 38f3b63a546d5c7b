"""Attempts of one request at several sidecars, with scripted outcomes."""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any

import httpcore
import pytest

from crowwing.tier.configuration import Route
from crowwing.tier.front.dispatch import Dispatcher, Failed, NotServed, OpenResponse, SidecarRequest
from crowwing.tier.front.service_pool import ServicePool
from crowwing.tier.front.sidecar_clients import SidecarClients
from crowwing.tier.front.sidecar_state import SidecarState
from crowwing.tier.front.sidecar_table import SidecarTable
from crowwing.tier.front.upstream import NotExecuted, ResponseLost, ResponseStarted
from crowwing.tier.platform_list import Sidecar, SidecarList


class ScriptedClient:
    """Returns outcomes from a list that all sidecars share."""

    def __init__(self, outcomes: list[Any]) -> None:
        self._outcomes = outcomes

    async def send(self, *_: object) -> Any:  # noqa: ANN401
        """The next outcome."""
        return self._outcomes.pop(0)


class ScriptedClients(SidecarClients):
    """One scripted client for all sidecars."""

    def __init__(self, sidecars: SidecarTable, outcomes: list[Any]) -> None:
        super().__init__(sidecars)
        self._scripted = ScriptedClient(outcomes)

    def of_sidecar(self, _: SidecarState) -> Any:  # noqa: ANN401
        """The same client for every sidecar."""
        return self._scripted


def scripted_pool(outcomes: list[Any]) -> ServicePool:
    """A pool whose sidecars return scripted outcomes."""
    pool = ServicePool()
    pool.clients = ScriptedClients(pool.sidecars, outcomes)
    entries = [
        Sidecar(name, "advisor", f"127.0.0.1:{port}", "z", 8, True) for port, name in enumerate("abcd")
    ]
    pool.apply_endpoint_list(SidecarList(tuple(entries)))
    return pool


def answered(status: int) -> ResponseStarted:
    extensions = {"network_stream": httpcore.AsyncMockStream([])}
    return ResponseStarted(status, [], httpcore.Response(status, content=NoBody(), extensions=extensions))


class NoBody:
    """An empty body."""

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields nothing."""
        return
        yield b""

    async def aclose(self) -> None:
        """Does nothing."""


def sidecar_request(resumable: bool, attempts: int) -> SidecarRequest:
    route = Route.model_validate(
        {
            "name": "r",
            "host": "h",
            "pathPrefix": "/p/",
            "kind": "stream",
            "timeoutMs": 1000,
            "sloMs": 200,
            "service": "advisor",
            "maxAttempts": attempts,
            "resumable": resumable,
        }
    )
    deadline = time.monotonic() + 5
    return SidecarRequest(
        "POST",
        b"/p/x",
        [],
        b"",
        b"id",
        route,
        "advisor",
        (),
        deadline,
        attempts,
        retries_errors=route.is_idempotent,
    )


def opened(outcomes: list[Any], resumable: bool, attempts: int = 2) -> tuple[Any, list[Any]]:
    result = asyncio.run(Dispatcher(scripted_pool(outcomes)).open(sidecar_request(resumable, attempts)))
    return result, outcomes


def test_an_error_of_an_idempotent_request_is_retried_elsewhere() -> None:
    result, left = opened([answered(500), answered(200)], True)
    assert isinstance(result, OpenResponse) and result.started.status == 200 and left == []


def test_the_error_of_the_last_allowed_attempt_goes_to_the_client() -> None:
    result, left = opened([answered(500), answered(500), answered(200)], True)
    assert isinstance(result, OpenResponse) and result.started.status == 500 and len(left) == 1


def test_an_error_of_a_non_idempotent_request_is_final() -> None:
    result, left = opened([answered(500), answered(200)], False)
    assert isinstance(result, OpenResponse) and result.started.status == 500 and len(left) == 1


@pytest.mark.parametrize(("resumable", "kind"), [(True, OpenResponse), (False, Failed)])
def test_a_lost_attempt_is_retried_only_for_an_idempotent_request(resumable: bool, kind: type) -> None:
    result, _ = opened([ResponseLost("reset"), answered(200)], resumable)
    assert isinstance(result, kind)


def test_a_request_that_was_not_executed_is_retried_on_any_route() -> None:
    result, left = opened([NotExecuted(503, "full"), NotExecuted(None, "refused"), answered(200)], False, 1)
    assert isinstance(result, OpenResponse) and left == []


def test_a_request_that_no_sidecar_executes_is_not_served() -> None:
    result, _ = opened([NotExecuted(503, "full")] * 4, False, 1)
    assert isinstance(result, NotServed)
