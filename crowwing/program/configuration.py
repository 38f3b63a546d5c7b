"""Reads and checks the configuration file that the environment names."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, fields, replace

from crowwing.contract import ServerFacts, WireNames
from crowwing.server_facts import InvalidSettingsError, decode

Address = tuple[str, int]
RELOADABLE_FIELDS = {"agent", "control", "below", "stop"}  # the fields that a reload can change


class ConfigurationError(ValueError):
    """One line that says what is wrong with the configuration."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """The addresses, limits and settings of this backend."""

    name: str
    own: str  # the name in the file itself
    listen: Address
    agent: Address
    control: Address
    below: Address | None  # None: no downstream service
    seed: int
    stop: int  # microseconds from the signal to the end of the drain
    sockets: int
    facts: ServerFacts
    names: WireNames

    def reloaded_from(self, other: "Configuration") -> tuple["Configuration", list[str], list[str]]:
        """Returns the reloaded configuration, the names of changed fields, and of those that cannot change.

        Raises ConfigurationError if `other` belongs to another backend, since its addresses would be wrong.
        """
        if other.own != self.own:
            raise ConfigurationError(f"it is the configuration of {other.own}, not of {self.own}")
        different = [f.name for f in fields(self) if getattr(self, f.name) != getattr(other, f.name)]
        changed = [name for name in different if name in RELOADABLE_FIELDS]
        fixed = [name for name in different if name not in RELOADABLE_FIELDS]
        return replace(self, **{name: getattr(other, name) for name in changed}), changed, fixed


def read(environment: Mapping[str, str]) -> Configuration:
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigurationError("PROXY_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            data = json.load(file)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(f"{path}: not valid JSON: {error}") from None
    try:
        facts, names = decode(data["settings"])
        # The worker agent has no command to continue without a call, so a partial result has no value.
        facts = replace(facts, classes=tuple(replace(kind, partial_value=0.0) for kind in facts.classes))
        configuration = Configuration(
            name=str(environment.get("PROXY_NAME") or data["name"]),
            own=str(data.get("name", environment.get("PROXY_NAME"))),
            listen=_address(environment.get("PROXY_LISTEN") or data["listen"]),
            agent=_address(data["agent"]),
            control=_address(data["control"]),
            below=_address(data["backend"])
            if data.get("backend") or any(k.makes_calls for k in facts.classes)
            else None,
            seed=int(str(data["seed"]), 16),
            stop=round(float(data["stop_ms"]) * 1000),
            sockets=int(data.get("limits", {}).get("sockets", 1024)),
            facts=facts,
            names=names,
        )
    except KeyError as missing:
        raise ConfigurationError(f"{path}: {missing} is missing") from None
    except InvalidSettingsError as error:
        raise ConfigurationError(f"{path}: {error}") from None
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigurationError(f"{path}: {error}") from None
    _check(path, configuration)
    return configuration


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address (host:port): {text!r}")
    return host, int(port)


def _check(path: str, configuration: Configuration) -> None:
    """Rejects settings that the platform does not allow, at the start."""
    facts = configuration.facts
    if configuration.stop <= 0:
        raise ConfigurationError(f"{path}: stop_ms must be greater than 0")
    if not facts.classes:
        raise ConfigurationError(f"{path}: no request classes")
