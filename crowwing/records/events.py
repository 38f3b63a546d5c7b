"""Every event that a backend logs, and what it means. docs/oncall.md's table is checked against this one.

A line is one JSON object: `at` (Unix microseconds), `backend`, `life` (a random id for each start), `seq`
(from 1, up by one a line, so that a gap shows lost lines), `event`, then what the event brings.
"""

EVENTS = {
    "started": "it listens",
    "greeted": "the farm agent is up",
    "ready": "the module wants to be listed",
    "unready": "the module wants to be off the list",
    "agent_lost": "the farm agent's link broke",
    "address_taken": "its address is still held, and it tries for some seconds",
    "agent_silent": "the farm agent answered no sample for too long",
    "agent_resent": "commands were sent again on a new link",
    "agent_refusal": "the farm agent did not carry a command out",
    "control_lost": "no report has counted for a while",
    "control_back": "a report counts again",
    "reloaded": "the configuration was read again",
    "not_reloaded": "the configuration could not be read again",
    "defect": "a fault in the program, at one ticket",
    "stray_defect": "a fault in the program, at none",
    "leaving": "the notice to drain came",
    "stopped": "it has drained",
    "storm": "a retry storm is seen",
    "storm_over": "it is seen no more",
    "fleet_open": "its fleet socket is open",
    "member": "another member is held alive, suspect or dead",
    "cells_out": "which cells of the fleet it holds out of reach",
    "caught_up": "it holds what the fleet keeps, or has waited long enough",
    "catching_up": "it was away, and is behind until it has caught up",
    "fetched": "a whole copy came from a member",
    "snapshot_read": "what was kept on disk is read",
    "snapshot_unused": "the snapshot on disk is not used",
    "snapshot_unwritten": "the snapshot could not be written",
    "taught": "it has taken what others learned as its start",
    "fleet_full": "something could not be kept by the fleet",
    "figures": "figures of the module and the wires",
}
