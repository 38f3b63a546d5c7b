"""The operator's configuration: its types, its checks, and the choice of a route."""

import hashlib
import json
from dataclasses import dataclass
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

DEFAULT_PRIORITY = 0


class Split(BaseModel):
    """One share of a route's traffic."""

    model_config = ConfigDict(extra="ignore")
    service: str
    weight: float = Field(ge=0)


class Route(BaseModel):
    """Where requests of one host and path prefix go, and how."""

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
    gap_aim_ms: float | None = None
    completion_slo_ms: float | None = Field(None, alias="completionSloMs")
    max_wait_s: float | None = Field(None, alias="maxWaitS")

    @property
    def services(self) -> list[Split]:
        """The services of the route with their weights."""
        if self.traffic_split:
            return self.traffic_split
        return [Split(service=self.service or "", weight=1)]

    @property
    def repeatable(self) -> bool:
        """Whether a request of this route may run more than once."""
        return self.kind in ("safe", "batch_queue") or (self.kind == "stream" and self.resumable)

    @model_validator(mode="after")
    def _names_a_target(self) -> "Route":
        if self.service is None and not self.traffic_split:
            raise ValueError("names neither a service nor a trafficSplit")
        if sum(share.weight for share in self.services) <= 0:
            raise ValueError("the weights of trafficSplit add up to 0")
        return self


class Engine(BaseModel):
    """What the sidecars of a service are built like."""

    model_config = ConfigDict(extra="ignore")
    slots: int = 8
    kv_capacity_tokens: int = Field(0, alias="kvCapacityTokens")


class Service(BaseModel):
    """A group of sidecars that can serve the same requests."""

    model_config = ConfigDict(extra="ignore")
    name: str
    health_path: str = Field("/health", alias="healthPath")
    max_conns: int = Field(64, alias="maxConns", gt=0)
    engine: Engine | None = None


class RequestLimits(BaseModel):
    """What a client may send, and how long it may take."""

    model_config = ConfigDict(extra="ignore")
    max_header_bytes: int = Field(16384, alias="maxHeaderBytes", gt=0)
    max_body_bytes: int = Field(4194304, alias="maxBodyBytes", gt=0)
    header_timeout_ms: float = Field(3000, alias="headerTimeoutMs", gt=0)
    idle_timeout_ms: float = Field(15000, alias="idleTimeoutMs", gt=0)


class Configuration(BaseModel):
    """One whole version of the configuration."""

    model_config = ConfigDict(extra="ignore")
    version: int = Field(gt=0)
    routes: list[Route]
    services: list[Service]
    limits: RequestLimits = RequestLimits()  # type: ignore[call-arg]

    @model_validator(mode="after")
    def _is_consistent(self) -> "Configuration":
        names = {service.name for service in self.services}
        places: set[tuple[str, str]] = set()
        for route in self.routes:
            for share in route.services:
                if share.service not in names:
                    raise ValueError(f"route {route.name}: unknown service {share.service!r}")
            place = (route.host.lower(), route.path_prefix)
            if place in places:
                raise ValueError(f"route {route.name}: another route has the same host and prefix")
            places.add(place)
        return self


@dataclass(frozen=True)
class InvalidConfiguration:
    """Why a configuration is refused, with the place of the first mistake."""

    place: str
    reason: str


def parse_configuration(text: bytes) -> Configuration | InvalidConfiguration:
    """Reads and checks one configuration."""
    try:
        values: Any = json.loads(text)
    except (ValueError, UnicodeDecodeError) as error:
        return InvalidConfiguration("body", f"not JSON: {error}")
    try:
        return Configuration.model_validate(values)
    except ValidationError as error:
        first = error.errors()[0]
        return InvalidConfiguration(".".join(str(part) for part in first["loc"]) or "body", first["msg"])


class RoutingTable:
    """Finds the route of a request: of the routes of its host, the one with the longest matching prefix."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.services = {service.name: service for service in configuration.services}
        self._by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> Route | None:
        """The route for a `Host` header (a port is ignored) and a path without its query."""
        name = host.lower()
        routes = self._by_host.get(name) or self._by_host.get(name.split(":", 1)[0])
        for route in routes or ():
            if path.startswith(route.path_prefix):
                return route
        return None


def choose_service(route: Route, key: bytes) -> str:
    """The service of a request or item by the route's weights; `key`, its id, draws the place."""
    shares = [share for share in route.services if share.weight > 0]
    if len(shares) == 1:
        return shares[0].service
    total = sum(share.weight for share in shares)
    place = int.from_bytes(hashlib.blake2b(key, digest_size=4, salt=b"split").digest(), "big") / 2**32 * total
    for share in shares:
        place -= share.weight
        if place < 0:
            return share.service
    return shares[-1].service
