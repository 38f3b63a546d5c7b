"""The settings file that the platform provides for each process."""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

SETTINGS_VARIABLE = "CROWWING_SETTINGS"
MEGABYTE = 1024 * 1024  # bytes
DEFAULT_SETTINGS_PATH = "/etc/crowwing/settings.toml"


class Listen(BaseModel):
    """Addresses that the process serves externally, as `host:port`."""

    model_config = ConfigDict(extra="ignore")
    front: str | None = None
    ready: str | None = None
    control: str | None = None


class Limits(BaseModel):
    """Resource limits of one process."""

    model_config = ConfigDict(extra="ignore")
    max_fds: int = Field(1024, alias="maxFds", gt=0)
    memory_mb: int = Field(256, alias="memoryMb", gt=0)
    disk_mb: int = Field(0, alias="diskMb", ge=0)
    link_mbps: float = Field(0.0, alias="linkMbps", ge=0)  # megabits (10^6) per second; 0 if not known


class FaultTolerance(BaseModel):
    """The number of machines, zones or regions that can fail at the same time."""

    model_config = ConfigDict(extra="ignore")
    machines: int = Field(1, ge=0)
    zones: int = Field(0, ge=0)
    regions: int = Field(0, ge=0)

    @property
    def store_machines(self) -> int:
        """The number of store machines that can fail at the same time; each zone holds one of them."""
        return max(self.machines, self.zones, self.regions)


class Bounds(BaseModel):
    """Time limits. The suffix of each name is its unit: `Ms` or `S` (seconds)."""

    model_config = ConfigDict(extra="ignore")
    contact_ms: float = Field(3000, alias="contactMs")
    ack_ms: float = Field(4000, alias="ackMs")
    drain_ms: float = Field(3000, alias="drainMs")
    grace_s: float = Field(8, alias="graceS")
    config_apply_ms: float = Field(2000, alias="configApplyMs")
    status_s: float = Field(120, alias="statusS")
    cancel_ms: float = Field(3000, alias="cancelMs")


class Cloud(BaseModel):
    """Access to the platform's list of sidecars."""

    model_config = ConfigDict(extra="ignore")
    address: str
    rate_per_s: float = Field(10.0, alias="ratePerS", gt=0)


class Settings(BaseModel):
    """The settings of a process, read at startup. Unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore")
    node: str
    ip: str
    zone: str = ""
    region: str = ""
    machine_class: str = Field("", alias="machineClass")
    port_range: tuple[int, int] = Field(alias="portRange")
    seeds: list[str] = []
    bootstrap: bool = False
    data_dir: Path | None = Field(None, alias="dataDir")
    listen: Listen = Listen()
    limits: Limits = Limits.model_validate({})
    fault_tolerance: FaultTolerance = Field(FaultTolerance.model_validate({}), alias="faultTolerance")
    bounds: Bounds = Bounds.model_validate({})
    cloud: Cloud | None = None

    @property
    def internal_port(self) -> int:
        """The port for traffic between backends: the first of the range, the same on every machine."""
        return self.port_range[0]

    @property
    def seed_hosts(self) -> tuple[str, ...]:
        """The hosts of the seeds, without ports."""
        return tuple(seed.rsplit(":", 1)[0] for seed in self.seeds)


@dataclass(frozen=True)
class InvalidSettings:
    """Why the settings are invalid.

    Attributes:
        path: the settings file.
        location: the location of the error: `file`, `syntax`, or the dotted name of a field.
        reason: what is wrong.
    """

    path: str
    location: str
    reason: str

    def __str__(self) -> str:
        """Formats the error as one line."""
        return f"{self.path}: {self.location}: {self.reason}"


def read_settings(path: str | None = None) -> Settings | InvalidSettings:
    """Reads and validates the settings file.

    Args:
        path: the file; by default the value of CROWWING_SETTINGS, or else DEFAULT_SETTINGS_PATH.

    Returns:
        The settings, or why they are invalid.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)
    try:
        text = Path(path).read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        return InvalidSettings(path, "file", str(error))
    try:
        values: dict[str, Any] = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return InvalidSettings(path, "syntax", str(error))
    try:
        return Settings.model_validate(values)
    except ValidationError as error:
        first = error.errors()[0]
        return InvalidSettings(path, ".".join(str(name) for name in first["loc"]), first["msg"])
