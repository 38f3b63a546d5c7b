"""The configuration named by the environment, read and checked once."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, fields, replace

from crowwing.contract import ServerFacts, WireNames
from crowwing.server_facts import InvalidSettingsError, decode

Address = tuple[str, int]
RELOADABLE_FIELDS = {"agent", "control", "below", "stop"}  # the parts that a reading in service changes


class ConfigurationError(ValueError):
    """One line that says what cannot be read or served."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """Where this backend stands, and whom it speaks with."""

    name: str
    own: str  # the name that the file itself tells
    listen: Address
    agent: Address
    control: Address
    below: Address | None  # None: nothing lies below
    seed: int
    stop: int  # microseconds from the notice to the end
    sockets: int
    facts: ServerFacts
    names: WireNames

    def reloaded_from(self, data: "Configuration") -> tuple["Configuration", list[str], list[str]]:
        """This one with the parts of another that can change in service; what those are, and what cannot.

        BadConfiguration where the other is not this backend's at all: its addresses are another's.
        """
        if data.own != self.own:
            raise ConfigurationError(f"it is the configuration of {data.own}, not of {self.own}")
        different = [f.name for f in fields(self) if getattr(self, f.name) != getattr(data, f.name)]
        changed = [name for name in different if name in RELOADABLE_FIELDS]
        fixed = [name for name in different if name not in RELOADABLE_FIELDS]
        return replace(self, **{name: getattr(data, name) for name in changed}), changed, fixed


def read(environment: Mapping[str, str]) -> Configuration:
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigurationError("PROXY_CONFIG names no configuration")
    try:
        with open(path, "rb") as file:
            data = json.load(file)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(f"{path}: no JSON: {error}") from None
    try:
        facts, names = decode(data["settings"])
        # No command tells the farm agent to go on without a call, whatever such an answer would be worth.
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
        raise ValueError(f"no address: {text!r}")
    return host, int(port)


def _check(path: str, configuration: Configuration) -> None:
    """What no page allows is said at the start, not found out by a broken rule."""
    facts = configuration.facts
    if configuration.stop <= 0:
        raise ConfigurationError(f"{path}: stop_ms is not above 0")
    if not facts.classes:
        raise ConfigurationError(f"{path}: no traffic types")
