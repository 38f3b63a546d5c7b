"""Which state the fleet keeps together, and the rule of each (docs/replication.md has the reasons)."""

from crowwing.fleet.state.replica import Join, Space

SECOND = 1_000_000
HOUR = 3600 * SECOND

# A name that stands first in a key: how copies that differ are settled, entries at most, longest life.
SPACES = {
    "said": Space(Join.LATEST, 512, 24 * HOUR, wide=True),  # what operators say to all members
    "mark": Space(Join.GONE, 512, 24 * HOUR, wide=True),  # sets that operators put members or zones into
    "zone": Space(Join.LATEST, 256, 24 * HOUR, wide=True),  # verdicts on zones
    "use": Space(Join.MOST, 4096, 60 * SECOND),  # a customer's tickets: by member, life and window
    "turned": Space(Join.LATEST, 1024, 60 * SECOND),  # prints of what each member turned away of late
    "reach": Space(Join.LATEST, 512, HOUR),  # which cells each speaker of this cell cannot reach, by zone
    "lesson": Space(Join.LATEST, 512, 24 * HOUR),  # what each member has learned
}
OPERATORS = ("said", "mark", "zone")  # what may be put through the fleet's socket
