"""The operator's API over HTTP: configurations, and store machines that are to be emptied."""

import json
from typing import Any

from litestar import Litestar, Request, Response, get, post, put
from litestar.datastructures import State

from crowwing.tier.store import commands
from crowwing.tier.store.service import StoreService

JSON = "application/json"
RETRY_AFTER = {"Retry-After": "0.3"}


def json_answer(status: int, value: dict[str, Any]) -> Response[bytes]:
    """An answer in JSON."""
    headers = RETRY_AFTER if status == 503 else {}
    return Response(json.dumps(value).encode(), status_code=status, media_type=JSON, headers=headers)


def outcome_answer(outcome: Any) -> Response[bytes]:  # noqa: ANN401
    """The HTTP answer that tells an outcome."""
    match outcome:
        case commands.Done():
            return json_answer(200, {})
        case commands.NotFound():
            return json_answer(404, {"error": "there is no such thing"})
        case commands.Rejected(status, reason):
            return json_answer(status, {"error": reason})
        case commands.CurrentConfiguration(_, text):
            return Response(text, status_code=200, media_type=JSON)
        case commands.RetirementStatus(completed):
            return json_answer(200, {"state": "completed" if completed else "running"})
        case commands.Indeterminate(reason):
            return json_answer(504, {"error": reason})
    return json_answer(503, {"error": "no store machine decides at this moment; ask again"})


def get_outcome_answer(outcome: Any) -> Response[bytes]:  # noqa: ANN401
    """The same for a reading of the configuration: one that can't be sure of the newest says 503."""
    if isinstance(outcome, commands.Indeterminate):
        return json_answer(503, {"error": outcome.reason})
    return outcome_answer(outcome)


@put("/config", status_code=200)
async def put_config(request: Request[Any, Any, State], state: State) -> Response[bytes]:
    """Takes a whole configuration."""
    try:
        base = int(request.headers.get("if-match", ""))
    except ValueError:
        return json_answer(
            400, {"error": "If-Match: must be the version that this one builds on, 0 at first"}
        )
    service: StoreService = state.service
    return outcome_answer(await service.command(commands.PutConfiguration(base, await request.body())))


@get("/config")
async def get_config(state: State) -> Response[bytes]:
    """The newest configuration, whole."""
    service: StoreService = state.service
    return get_outcome_answer(await service.command(commands.GetConfiguration()))


@post("/retire/{node:str}", status_code=200)
async def post_retire(node: str, state: State) -> Response[bytes]:
    """Asks that a store machine be emptied."""
    service: StoreService = state.service
    return outcome_answer(await service.command(commands.RetireStore(node)))


@get("/retire/{node:str}")
async def get_retire(node: str, state: State) -> Response[bytes]:
    """Tells how far that is."""
    service: StoreService = state.service
    return outcome_answer(await service.command(commands.ReadRetirement(node)))


def make_app(service: StoreService) -> Litestar:
    """The operator's API of one store machine."""
    return Litestar(
        [put_config, get_config, post_retire, get_retire],
        state=State({"service": service}),
        openapi_config=None,
        logging_config=None,
        request_max_body_size=64 * 1024 * 1024,
    )
