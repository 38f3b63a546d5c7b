"""The keyspaces of the replicated state and the merge rule of each (reasons: docs/replication.md)."""

from crowwing.fleet.state.replica import Keyspace, MergeRule

SECOND = 1_000_000
HOUR = 3600 * SECOND

# First component of a key: merge rule, maximum number of entries, maximum lifetime of an entry.
KEYSPACES = {
    # Messages from operators to all members
    "said": Keyspace(MergeRule.LAST_WRITER_WINS, 512, 24 * HOUR, fleet_wide=True),
    # Sets of members or zones, edited by operators
    "mark": Keyspace(MergeRule.REMOVE_WINS, 512, 24 * HOUR, fleet_wide=True),
    # State of zones, set by operators
    "zone": Keyspace(MergeRule.LAST_WRITER_WINS, 256, 24 * HOUR, fleet_wide=True),
    # Requests of a customer by member, incarnation and window
    "use": Keyspace(MergeRule.MAXIMUM, 4096, 60 * SECOND),
    # Prints of requests that each member rejected recently
    "turned": Keyspace(MergeRule.LAST_WRITER_WINS, 1024, 60 * SECOND),
    # Cells that each speaker of this cell cannot reach
    "reach": Keyspace(MergeRule.LAST_WRITER_WINS, 512, HOUR),
    # Learned figures of each member
    "lesson": Keyspace(MergeRule.LAST_WRITER_WINS, 512, 24 * HOUR),
}
OPERATORS = ("said", "mark", "zone")  # may be changed through the fleet socket
