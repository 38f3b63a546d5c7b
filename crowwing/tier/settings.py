"""The settings file that the platform gives to each process."""

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
    """Addresses that the process serves to the outside, as `host:port`."""

    model_config = ConfigDict(extra="ignore")
    front: str | None = None
    ready: str | None = None
    control: str | None = None


class Limits(BaseModel):
    """What one process may use."""

    model_config = ConfigDict(extra="ignore")
    max_fds: int = Field(1024, alias="maxFds", gt=0)
    memory_mb: int = Field(256, alias="memoryMb", gt=0)
    disk_mb: int = Field(0, alias="diskMb", ge=0)
    link_mbps: float = Field(0.0, alias="linkMbps", ge=0)  # megabits (10^6) a second; 0: not known


class FaultTolerance(BaseModel):
    """What may be lost at one time: counted machines, or zones, or regions."""

    model_config = ConfigDict(extra="ignore")
    machines: int = Field(1, ge=0)
    zones: int = Field(0, ge=0)
    regions: int = Field(0, ge=0)

    @property
    def store_machines(self) -> int:
        """How many store machines may be lost at one time, where a zone holds one of them."""
        return max(self.machines, self.zones, self.regions)


class Bounds(BaseModel):
    """Time bounds of the rules; the unit stands in each name, seconds for names that end in `S`."""

    model_config = ConfigDict(extra="ignore")
    contact_ms: float = Field(3000, alias="contactMs")
    ack_ms: float = Field(4000, alias="ackMs")
    drain_ms: float = Field(3000, alias="drainMs")
    grace_s: float = Field(8, alias="graceS")
    config_apply_ms: float = Field(2000, alias="configApplyMs")
    status_s: float = Field(120, alias="statusS")
    cancel_ms: float = Field(3000, alias="cancelMs")


class Cloud(BaseModel):
    """The platform's list of sidecars."""

    model_config = ConfigDict(extra="ignore")
    address: str
    rate_per_s: float = Field(10.0, alias="ratePerS", gt=0)


class Settings(BaseModel):
    """Everything a process is told at its start. Unknown fields are ignored."""

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
        """The port on which backends speak with each other: the first of the range, at every machine."""
        return self.port_range[0]

    @property
    def seed_hosts(self) -> tuple[str, ...]:
        """The addresses of the seeds without their ports."""
        return tuple(seed.rsplit(":", 1)[0] for seed in self.seeds)


@dataclass(frozen=True)
class InvalidSettings:
    """Why the settings can't be used.

    Attributes:
        path: the settings file.
        location: where the mistake stands: `file`, `syntax`, or the name of a field with dots in it.
        reason: what is wrong there.
    """

    path: str
    location: str
    reason: str

    def __str__(self) -> str:
        """One line for a person."""
        return f"{self.path}: {self.location}: {self.reason}"


def read_settings(path: str | None = None) -> Settings | InvalidSettings:
    """Reads and checks the settings file.

    Args:
        path: the file; where it is not given, CROWWING_SETTINGS names it.

    Returns:
        The settings, or why they can't be used.
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
