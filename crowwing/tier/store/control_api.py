"""The operator's API over HTTP: the configuration, and the decommissioning of store machines."""

import json
from collections.abc import Mapping
from typing import Any

from litestar import Litestar, Request, Response, get, post, put
from litestar.datastructures import State

from crowwing.tier.store import commands, outcomes
from crowwing.tier.store.service import StoreService

JSON = "application/json"
RETRY_AFTER = {"Retry-After": "0.3"}
MAX_REQUEST_BODY_BYTES = 64 * 1024 * 1024


def json_response(status: int, body: Mapping[str, str]) -> Response[bytes]:
    """Makes a JSON response; a 503 has a Retry-After header."""
    headers = RETRY_AFTER if status == 503 else {}
    return Response(json.dumps(body).encode(), status_code=status, media_type=JSON, headers=headers)


def error_response(status: int, reason: str) -> Response[bytes]:
    """Makes a response with the reason why a command failed."""
    return json_response(status, {"error": reason})


def outcome_response(outcome: outcomes.Outcome) -> Response[bytes]:
    """Maps the outcome of a command to an HTTP response."""
    match outcome:
        case outcomes.Done():
            response = json_response(200, {})
        case outcomes.NotFound():
            response = error_response(404, "there is no such thing")
        case outcomes.Rejected(status, reason):
            response = error_response(status, reason)
        case outcomes.CurrentConfiguration(_, text):
            response = Response(text, status_code=200, media_type=JSON)
        case outcomes.RetirementStatus(completed):
            response = json_response(200, {"state": "completed" if completed else "running"})
        case outcomes.Indeterminate(reason):
            response = error_response(504, reason)
        case _:
            response = error_response(503, "no store machine decides at this moment; ask again")
    return response


def read_outcome_response(outcome: outcomes.Outcome) -> Response[bytes]:
    """Like `outcome_response`, for reads: a result that may be stale is a 503, since nothing was changed."""
    if isinstance(outcome, outcomes.Indeterminate):
        return error_response(503, outcome.reason)
    return outcome_response(outcome)


@put("/config", status_code=200)
async def put_config(request: Request[Any, Any, State], state: State) -> Response[bytes]:
    """Replaces the configuration of the version in `If-Match` with the one in the body."""
    try:
        base = int(request.headers.get("if-match", ""))
    except ValueError:
        return error_response(400, "If-Match: must be the version that this one builds on, 0 at first")
    service: StoreService = state.service
    command = commands.PutConfiguration(base, await request.body())
    return outcome_response(await service.execute(command))


@get("/config")
async def get_config(state: State) -> Response[bytes]:
    """Returns the newest configuration."""
    service: StoreService = state.service
    return read_outcome_response(await service.execute(commands.GetConfiguration()))


@post("/retire/{node:str}", status_code=200)
async def post_retire(node: str, state: State) -> Response[bytes]:
    """Starts decommissioning a store machine."""
    service: StoreService = state.service
    return outcome_response(await service.execute(commands.RetireStore(node)))


@get("/retire/{node:str}")
async def get_retire(node: str, state: State) -> Response[bytes]:
    """Returns the progress of the decommissioning of a store machine."""
    service: StoreService = state.service
    return outcome_response(await service.execute(commands.ReadRetirement(node)))


def make_app(service: StoreService) -> Litestar:
    """Creates the ASGI application of the operator's API."""
    return Litestar(
        [put_config, get_config, post_retire, get_retire],
        state=State({"service": service}),
        openapi_config=None,
        logging_config=None,
        request_max_body_size=MAX_REQUEST_BODY_BYTES,
    )
