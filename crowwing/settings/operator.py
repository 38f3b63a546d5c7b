"""The operator file as typed values. A subsystem is on only if its section is present; `{}` is all off.

Tools use these types, and the JSON Schema is generated from them; a backend reads the same file with
operator_file.py. Names end in their units. The doc comments of the sections are part of
the schema.
"""

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType

from crowwing.settings.operator_file import load


class Section(Struct, forbid_unknown_fields=True, frozen=True):
    """Base of all sections: unknown names are errors."""


class Records(Section):
    """What the backend writes down of itself."""

    figures_every_ms: Annotated[
        int, Meta(ge=200, le=600_000, description="Time between two `figures` lines; counter: `figures`.")
    ] = 5000


class Storm(Section):
    """The sight of retry storms (docs/storm.md)."""

    prints: Annotated[
        tuple[Literal["type", "customer", "body", "kb", "rank"], ...],
        Meta(min_length=1, description="What of a ticket stays the same in a repeat."),
    ] = ("type", "customer", "body", "kb", "rank")
    window_s: Annotated[
        float, Meta(ge=1, le=120, description="How long a ticket that was turned away is remembered.")
    ] = 10.0
    prints_most: Annotated[
        int, Meta(ge=100, le=1_000_000, description="Prints in each of two windows; 5 to 9 bytes a print.")
    ] = 4000
    lowers_repeats: Annotated[
        bool, Meta(description="In a storm, likely repeats rank as tickets beyond their customer's share.")
    ] = False
    paces_returns: Annotated[
        bool, Meta(description="In a storm, callers sent away get places to come back spread over time.")
    ] = False
    retry_after: Annotated[
        bool, Meta(description="Advice to stay away also goes out as Retry-After, in whole seconds.")
    ] = False


class Peer(Section):
    """Another member of the fleet."""

    name: Annotated[str, Meta(min_length=1, description="Its name, as the platform gives it (PROXY_NAME).")]
    address: Annotated[str, Meta(min_length=1, description="Its fleet socket, `a.b.c.d:port`, IPv4.")]
    region: Annotated[str, Meta(description="Where it stands; all members name theirs, or none does.")] = ""
    zone: Annotated[str, Meta(description="Its failure domain within the region; with `region`.")] = ""


class Fleet(Section):
    """Membership among backends that may talk (docs/replication.md); off where the platform forbids peers."""

    listen: Annotated[str, Meta(min_length=1, description="This backend's UDP socket, `a.b.c.d:port`, IPv4.")]
    peers: Annotated[tuple[Peer, ...], Meta(min_length=1, description="Every other member, by name.")]
    region: Annotated[
        str, Meta(description="Where this backend stands; named for all members: the fleet runs in cells.")
    ] = ""
    zone: Annotated[str, Meta(description="Its failure domain within the region; with `region`.")] = ""
    cell_most: Annotated[
        int, Meta(ge=8, le=128, description="Members of a cell at most; the same on every member.")
    ] = 64
    period_ms: Annotated[int, Meta(ge=20, le=60_000, description="One probe a period (SWIM).")] = 1000
    probe_timeout_ms: Annotated[
        int,
        Meta(ge=5, le=30_000, description="Wait for an ack before asking others to probe; under period_ms."),
    ] = 300
    indirect: Annotated[int, Meta(ge=0, le=10, description="Members asked to probe for us (SWIM's k).")] = 3
    suspect_periods: Annotated[
        float, Meta(ge=1, le=100, description="Shortest suspicion, in periods times log10 of the fleet.")
    ] = 4.0
    suspect_most_times: Annotated[
        float, Meta(ge=1, le=20, description="Longest suspicion, as a multiple of the shortest (Lifeguard).")
    ] = 3.0
    revive_every: Annotated[
        int, Meta(ge=1, le=1000, description="Periods between probes of a member held dead.")
    ] = 8
    sync_every_ms: Annotated[
        int, Meta(ge=50, le=600_000, description="Between two comparings of digests with a member by chance.")
    ] = 1000
    catch_up_most_ms: Annotated[
        int, Meta(ge=100, le=600_000, description="Not ready for longer than this, caught up or not.")
    ] = 5000
    clock_drift_most_ms: Annotated[
        int, Meta(ge=100, le=3_600_000, description="How far ahead a member's clock may be and be believed.")
    ] = 10_000
    snapshot_folder: Annotated[
        str, Meta(description="Where this member's copy is kept across restarts; empty: it is not.")
    ] = ""
    snapshot_every_ms: Annotated[
        int, Meta(ge=100, le=3_600_000, description="Between two writings, where something changed.")
    ] = 5000
    lends_calls: Annotated[
        bool,
        Meta(description="Members lend each other their pace of calls below; the sum stays the fleet's."),
    ] = False
    shares_quota: Annotated[
        bool, Meta(description="A customer's share goes to where its tickets come, by use across the fleet.")
    ] = False
    quota_window_ms: Annotated[
        int, Meta(ge=200, le=15_000, description="Of a customer's use; three whole windows are looked at.")
    ] = 1000
    teaches: Annotated[
        bool, Meta(description="A member that starts takes what others have learned as its start.")
    ] = False
    shares_prints: Annotated[
        bool, Meta(description="Prints of what was turned away go to the others; needs a storm section.")
    ] = False
    clock_offset_ms: Annotated[
        int, Meta(ge=-3_600_000, le=3_600_000, description="Added to this member's clock; for trials only.")
    ] = 0


class Operator(Section):
    """Everything that an operator can switch on."""

    version: Annotated[Literal[1], Meta(description="Of this form of the file.")] = 1
    records: Records | UnsetType = UNSET
    storm: Storm | UnsetType = UNSET
    fleet: Fleet | UnsetType = UNSET


def schema() -> bytes:
    """The JSON Schema that is stored beside this file and in deploy/."""
    return msgspec.json.format(msgspec.json.encode(msgspec.json.schema(Operator)), indent=2) + b"\n"


def read(path: Path) -> Operator:
    """Raises OperatorFileError with one line for each error."""
    return msgspec.convert(load(path), Operator)
