"""The events that a backend logs; a test compares their names with the table in docs/oncall.md.

Each line is a JSON object: `at` (Unix microseconds), `backend`, `life` (a random id for each start of the
process), `seq` (from 1, incremented with each line, so that a gap shows lost lines), `event`, and the fields
of the event.
"""

EVENTS = {
    "started": "the process listens for connections",
    "greeted": "the worker agent is up",
    "ready": "the decision module asks to be listed",
    "unready": "the decision module asks to be taken off the list",
    "agent_lost": "the connection to the worker agent broke",
    "address_taken": "the listening address is in use; the process retries for some seconds",
    "agent_silent": "the worker agent did not answer a sample request within the time-out",
    "agent_resent": "commands were sent again on a new connection",
    "agent_refusal": "the worker agent refused a command",
    "control_lost": "no report to the control plane has been accepted for a while",
    "control_back": "reports are accepted again",
    "reloaded": "the configuration was reloaded",
    "not_reloaded": "the configuration could not be reloaded",
    "defect": "an exception in the program while it handled a request",
    "stray_defect": "an exception in the program outside any request",
    "leaving": "the notice to drain was received",
    "stopped": "draining is complete",
    "storm": "a retry storm was detected",
    "storm_over": "the retry storm has ended",
    "fleet_open": "the fleet socket is open",
    "member": "another member's state changed to alive, suspect or dead",
    "cells_out": "the list of cells of the fleet that this member considers unreachable",
    "caught_up": "this member has the replicated state, or the wait for it has timed out",
    "catching_up": "this member was away and is behind until it has caught up",
    "fetched": "a full transfer of the state from another member is complete",
    "snapshot_read": "the snapshot on disk was read",
    "snapshot_unused": "the snapshot on disk is not used",
    "snapshot_unwritten": "the snapshot could not be written",
    "taught": "values learned by other members were taken as initial values",
    "fleet_full": "an entry could not be stored in the replicated state",
    "figures": "periodic metrics of the decision module and the connections",
}
