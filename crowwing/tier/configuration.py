"""The operator's configuration: types, validation and route selection."""

import hashlib
import json
from dataclasses import dataclass
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

DEFAULT_PRIORITY = 0


class NoTargetError(ValueError):
    """A route has no target service."""

    def __init__(self) -> None:
        """Describes the error."""
        super().__init__("names neither a service nor a trafficSplit")


class ZeroWeightError(ValueError):
    """The weights of a route's services add up to 0."""

    def __init__(self) -> None:
        """Describes the error."""
        super().__init__("the weights of trafficSplit add up to 0")


class UnknownServiceError(ValueError):
    """A route refers to a service that the configuration does not define."""

    def __init__(self, route: str, service: str) -> None:
        """Describes the error.

        Args:
            route: the name of the route.
            service: the name of the service.
        """
        super().__init__(f"route {route}: unknown service {service!r}")


class DuplicateRouteError(ValueError):
    """Two routes have the same host and path prefix."""

    def __init__(self, route: str) -> None:
        """Describes the error.

        Args:
            route: the name of the second route.
        """
        super().__init__(f"route {route}: another route has the same host and prefix")


class Split(BaseModel):
    """The share of a route's traffic that goes to one service."""

    model_config = ConfigDict(extra="ignore")
    service: str
    weight: float = Field(ge=0)


class Route(BaseModel):
    """How requests for one host and path prefix are routed."""

    model_config = ConfigDict(extra="ignore")
    name: str
    host: str
    path_prefix: str = Field(alias="pathPrefix", pattern=r"^/(.*/)?$")
    kind: Literal["safe", "unsafe", "stream", "batch_queue"] | str = "safe"
    timeout_ms: float = Field(alias="timeoutMs", gt=0)
    slo_ms: float = Field(1000, alias="sloMs", gt=0)
    priority: int = DEFAULT_PRIORITY
    service: str | None = None
    traffic_split: list[Split] | None = Field(None, alias="trafficSplit")
    max_attempts: int = Field(1, alias="maxAttempts", ge=1)
    resumable: bool = False
    gap_latency_target_ms: float | None = Field(None, alias="gap_aim_ms")
    completion_slo_ms: float | None = Field(None, alias="completionSloMs")
    max_wait_s: float | None = Field(None, alias="maxWaitS")

    @property
    def services(self) -> list[Split]:
        """The services of the route with their weights."""
        if self.traffic_split:
            return self.traffic_split
        return [Split(service=self.service or "", weight=1)]

    @property
    def is_idempotent(self) -> bool:
        """Whether requests of this route can be executed more than once."""
        return self.kind in ("safe", "batch_queue") or (self.kind == "stream" and self.resumable)

    @model_validator(mode="after")
    def _check_target(self) -> "Route":
        if self.service is None and not self.traffic_split:
            raise NoTargetError
        if sum(share.weight for share in self.services) <= 0:
            raise ZeroWeightError
        return self


class Engine(BaseModel):
    """The capacity of the sidecars of a service."""

    model_config = ConfigDict(extra="ignore")
    slots: int = 8
    kv_capacity_tokens: int = Field(0, alias="kvCapacityTokens")


class Service(BaseModel):
    """A group of interchangeable sidecars."""

    model_config = ConfigDict(extra="ignore")
    name: str
    health_path: str = Field("/health", alias="healthPath")
    max_conns: int = Field(64, alias="maxConns", gt=0)
    engine: Engine | None = None


class RequestLimits(BaseModel):
    """Size limits and time-outs for client requests."""

    model_config = ConfigDict(extra="ignore")
    max_header_bytes: int = Field(16384, alias="maxHeaderBytes", gt=0)
    max_body_bytes: int = Field(4194304, alias="maxBodyBytes", gt=0)
    header_timeout_ms: float = Field(3000, alias="headerTimeoutMs", gt=0)
    idle_timeout_ms: float = Field(15000, alias="idleTimeoutMs", gt=0)


class Configuration(BaseModel):
    """One complete version of the configuration."""

    model_config = ConfigDict(extra="ignore")
    version: int = Field(gt=0)
    routes: list[Route]
    services: list[Service]
    limits: RequestLimits = RequestLimits.model_validate({})

    @model_validator(mode="after")
    def _check_consistency(self) -> "Configuration":
        names = {service.name for service in self.services}
        hosts_and_prefixes: set[tuple[str, str]] = set()
        for route in self.routes:
            for share in route.services:
                if share.service not in names:
                    raise UnknownServiceError(route.name, share.service)
            host_and_prefix = (route.host.lower(), route.path_prefix)
            if host_and_prefix in hosts_and_prefixes:
                raise DuplicateRouteError(route.name)
            hosts_and_prefixes.add(host_and_prefix)
        return self


@dataclass(frozen=True)
class InvalidConfiguration:
    """Why a configuration is rejected.

    Attributes:
        location: the path of the first invalid field: names and indexes joined by dots, or `body`.
        reason: what is wrong with it.
    """

    location: str
    reason: str


def parse_configuration(text: bytes) -> Configuration | InvalidConfiguration:
    """Parses and validates a configuration.

    Args:
        text: JSON.

    Returns:
        The configuration, or why it is rejected.
    """
    try:
        values: Any = json.loads(text)
    except (ValueError, UnicodeDecodeError) as error:
        return InvalidConfiguration("body", f"not JSON: {error}")
    try:
        return Configuration.model_validate(values)
    except ValidationError as error:
        first = error.errors()[0]
        return InvalidConfiguration(".".join(str(name) for name in first["loc"]) or "body", first["msg"])


class RoutingTable:
    """Finds the route of a request: the one with the longest matching prefix among those of its host."""

    def __init__(self, configuration: Configuration) -> None:
        """Sorts the routes of each host, longest prefix first."""
        self.configuration = configuration
        self.services = {service.name: service for service in configuration.services}
        self._by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route for a `Host` header (ignoring a port) and a path without its query."""
        name = host.lower()
        routes = self._by_host.get(name) or self._by_host.get(name.split(":", 1)[0])
        for route in routes or ():
            if path.startswith(route.path_prefix):
                return route
        return None


def choose_service(route: Route, key: bytes) -> str:
    """Chooses the service for a request or item by the weights of its route.

    Args:
        route: the route.
        key: the id of the request or item; the same id always maps to the same service.

    Returns:
        The name of the service.
    """
    shares = [share for share in route.services if share.weight > 0]
    if len(shares) == 1:
        return shares[0].service
    total = sum(share.weight for share in shares)
    digest = hashlib.blake2b(key, digest_size=4, salt=b"split").digest()
    position = int.from_bytes(digest, "big") / 2**32 * total
    for share in shares:
        position -= share.weight
        if position < 0:
            return share.service
    return shares[-1].service
