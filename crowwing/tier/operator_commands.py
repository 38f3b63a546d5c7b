"""The operator's commands: check, get and put configurations, decommission and show store machines."""

import asyncio
import json
import sys
import time
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Annotated

import cappa
import httpx

from crowwing.tier.configuration import InvalidConfiguration, parse_configuration
from crowwing.tier.settings import InvalidSettings, read_settings
from crowwing.tier.store.commands import GetStatus
from crowwing.tier.store.outcomes import StoreStatus
from crowwing.tier.wire.connection_pool import ConnectionPool
from crowwing.tier.wire.errors import CallError

DONE = 0  # exit statuses
FAILED = 1
USAGE_ERROR = 2

ATTEMPT_TIMEOUT_S = 1.5  # for one request to one store machine
COMMAND_TIMEOUT_S = 20.0  # for all attempts of one command
RETIREMENT_TIMEOUT_S = 120.0
RETRY_INTERVAL_S = 0.3

# Responses that do not depend on the store machine; after any other one, the next machine is tried.
FINAL_STATUSES = frozenset(
    (
        HTTPStatus.OK,
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.CONFLICT,
        HTTPStatus.PRECONDITION_FAILED,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.UNPROCESSABLE_ENTITY,
    )
)

Control = Annotated[
    list[str],
    cappa.Arg(long="control", help="HOST:PORT of a store machine's control address; may be repeated"),
]


def _fail(text: str, status: int = FAILED) -> int:
    print(f"crowwing: {text}", file=sys.stderr)
    return status


def send_request(
    control: list[str], method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> httpx.Response | None:
    """Tries the control addresses in turn until one returns a final response.

    Args:
        control: addresses of store machines, `host:port`.
        method: the method of the HTTP request.
        path: the path of the HTTP request.
        body: the body of the HTTP request.
        headers: additional headers.

    Returns:
        The response; None if no machine returned a final one in time.
    """
    deadline = time.monotonic() + COMMAND_TIMEOUT_S
    with httpx.Client(trust_env=False, follow_redirects=True, timeout=ATTEMPT_TIMEOUT_S) as client:
        while time.monotonic() < deadline:
            for address in control:
                try:
                    response = client.request(
                        method, f"http://{address}{path}", content=body, headers=headers
                    )
                except httpx.HTTPError:
                    continue
                if response.status_code in FINAL_STATUSES:
                    return response
            time.sleep(RETRY_INTERVAL_S)
    return None


def _failure_message(response: httpx.Response | None) -> str | None:
    """The error message for a command that failed or whose outcome is unknown; None if it succeeded."""
    if response is None:
        return "no definite response from a store machine; run the same command again"
    return None if response.status_code == HTTPStatus.OK else response.text


@cappa.command(name="check", help="check a settings or configuration file without applying it")
@dataclass
class Check:
    """Checks a file: settings if its name ends in `.toml`, otherwise a configuration."""

    file: Path

    def __call__(self) -> int:
        """Returns 0 if the file is valid; otherwise prints the location of the error and returns 2."""
        if self.file.suffix == ".toml":
            settings = read_settings(str(self.file))
            return _fail(str(settings), USAGE_ERROR) if isinstance(settings, InvalidSettings) else DONE
        try:
            text = self.file.read_bytes()
        except OSError as error:
            return _fail(str(error), USAGE_ERROR)
        parsed = parse_configuration(text)
        if isinstance(parsed, InvalidConfiguration):
            return _fail(f"{self.file}: {parsed.location}: {parsed.reason}", USAGE_ERROR)
        print(f"version {parsed.version}, {len(parsed.routes)} routes, {len(parsed.services)} services")
        return DONE


@cappa.command(name="get", help="print the newest configuration")
@dataclass
class Get:
    """Prints the newest configuration."""

    control: Control

    def __call__(self) -> int:
        """Prints the configuration and returns 0."""
        response = send_request(self.control, "GET", "/config")
        if response is None or response.status_code != HTTPStatus.OK:
            no_response = "no definite response from a store machine"
            return _fail(no_response if response is None else "no configuration")
        print(response.text)
        return DONE


@cappa.command(name="put", help="put a configuration that is based on a version")
@dataclass
class Put:
    """Puts a configuration; the same command can be repeated until it is acknowledged."""

    file: Path
    base: Annotated[int, cappa.Arg(long=True, help="the version that this one is based on, 0 for the first")]
    control: Control

    def __call__(self) -> int:
        """Returns 0 once the configuration is committed and will be applied everywhere."""
        checked = Check(self.file)()
        if checked != DONE:
            return checked
        response = send_request(
            self.control, "PUT", "/config", self.file.read_bytes(), {"If-Match": str(self.base)}
        )
        failure = _failure_message(response)
        if failure is not None:
            return _fail(failure)
        print("taken")
        return DONE


@cappa.command(name="retire", help="decommission a store machine, and wait until it can be removed")
@dataclass
class Retire:
    """Requests the decommissioning of a store machine, and waits for it to complete."""

    node: str
    control: Control

    def __call__(self) -> int:
        """Returns 0 once the machine can be removed together with its disk."""
        body = json.dumps({"durationS": int(RETIREMENT_TIMEOUT_S)}).encode()
        failure = _failure_message(send_request(self.control, "POST", f"/retire/{self.node}", body))
        if failure is not None:
            return _fail(failure)
        deadline = time.monotonic() + RETIREMENT_TIMEOUT_S
        while time.monotonic() < deadline:
            response = send_request(self.control, "GET", f"/retire/{self.node}")
            if response is not None and response.json().get("state") == "completed":
                print("completed")
                return DONE
            time.sleep(RETRY_INTERVAL_S)
        return _fail(f"{self.node} is still being decommissioned")


@cappa.command(name="show", help="show role, epoch, view, configuration and lots of each store machine")
@dataclass
class Show:
    """Shows the status of store machines, read on their internal port."""

    hosts: Annotated[list[str], cappa.Arg(help="addresses of store machines")]
    port: Annotated[int, cappa.Arg(long=True, help="the internal port: the first of portRange")]

    def __call__(self) -> int:
        """Returns 0 if all machines respond."""
        return asyncio.run(self._show())

    async def _show(self) -> int:
        connections = ConnectionPool(self.port)
        result = DONE
        for host in self.hosts:
            try:
                status = await connections.call(host, GetStatus(), ATTEMPT_TIMEOUT_S)
            except CallError as error:
                result = _fail(f"{host}: {error.reason}")
                continue
            print("\n".join(describe(status)))
        connections.close()
        return result


def describe(status: StoreStatus) -> list[str]:
    """Formats the status of a store machine as lines of text."""
    return [
        f"{status.node}: {status.role}, epoch {status.term[0]} of {status.term[1] or 'nobody'}",
        f"  members {', '.join(status.members) or 'none'}; witnesses {', '.join(status.witnesses) or 'none'}",
        f"  log {status.index}, committed {status.commit}; configuration {status.version}",
        f"  {status.jobs} lots, {status.open_items} items without a result",
    ]
