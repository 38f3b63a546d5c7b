"""The configuration named by the environment, read and checked once."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, fields, replace

from crowwing.contract import ServerFacts, WireNames
from crowwing.server_facts import InvalidSettingsError, decode

Address = tuple[str, int]
IN_SERVICE = {"agent", "control", "below", "stop"}  # the parts that a reading in service changes


class BadConfiguration(ValueError):
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

    def follow(self, told: "Configuration") -> tuple["Configuration", list[str], list[str]]:
        """This one with the parts of another that can change in service; what those are, and what cannot.

        BadConfiguration where the other is not this backend's at all: its addresses are another's.
        """
        if told.own != self.own:
            raise BadConfiguration(f"it is the configuration of {told.own}, not of {self.own}")
        differs = [f.name for f in fields(self) if getattr(self, f.name) != getattr(told, f.name)]
        changed = [name for name in differs if name in IN_SERVICE]
        fixed = [name for name in differs if name not in IN_SERVICE]
        return replace(self, **{name: getattr(told, name) for name in changed}), changed, fixed


def read(environment: Mapping[str, str]) -> Configuration:
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise BadConfiguration("PROXY_CONFIG names no configuration")
    try:
        with open(path, "rb") as file:
            told = json.load(file)
    except OSError as wrong:
        raise BadConfiguration(f"{path}: {wrong.strerror}") from None
    except (ValueError, RecursionError) as wrong:
        raise BadConfiguration(f"{path}: no JSON: {wrong}") from None
    try:
        facts, names = decode(told["settings"])
        # No command tells the farm agent to go on without a call, whatever such an answer would be worth.
        facts = replace(facts, classes=tuple(replace(kind, partial_value=0.0) for kind in facts.classes))
        configuration = Configuration(
            name=str(environment.get("PROXY_NAME") or told["name"]),
            own=str(told.get("name", environment.get("PROXY_NAME"))),
            listen=_address(environment.get("PROXY_LISTEN") or told["listen"]),
            agent=_address(told["agent"]),
            control=_address(told["control"]),
            below=_address(told["backend"])
            if told.get("backend") or any(k.makes_calls for k in facts.classes)
            else None,
            seed=int(str(told["seed"]), 16),
            stop=round(float(told["stop_ms"]) * 1000),
            sockets=int(told.get("limits", {}).get("sockets", 1024)),
            facts=facts,
            names=names,
        )
    except KeyError as missing:
        raise BadConfiguration(f"{path}: {missing} is missing") from None
    except InvalidSettingsError as wrong:
        raise BadConfiguration(f"{path}: {wrong}") from None
    except (ValueError, TypeError, AttributeError, OverflowError) as wrong:
        raise BadConfiguration(f"{path}: {wrong}") from None
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
        raise BadConfiguration(f"{path}: stop_ms is not above 0")
    if not facts.classes:
        raise BadConfiguration(f"{path}: no traffic types")
