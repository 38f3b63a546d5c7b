"""The times and bounds that replicas go by, in seconds where no other unit stands."""

HEARTBEAT_S = 0.07
SUSPECT_S, SUSPECT_TURN_S, SUSPECT_SPREAD_S = 0.4, 0.12, 0.05  # silence after which the first member
# campaigns, the time that each next one waits longer, and a random part
SUSPECT_SYNCS = 3.0  # writes of its own disk that it waits longer, so that slow ones don't campaign in turns
PREVOTE_RETRY_S = 0.1  # between two rounds of asking whether the witnesses would help
STICKY_S = 0.35  # a witness that heard the primary so lately helps nobody else
MEMBER_SILENT_S = 0.4  # after which the primary leaves a member out
LEASE_S = 0.3  # under STICKY_S: a primary confirmed so lately is the only one
PREPARE_GRACE_S, PREPARE_LIMIT_S = 0.08, 1.0
SYNC_GRACE_S, SYNC_LIMIT_S, ACCEPT_LIMIT_S = 0.6, 3.0, 1.2
RECONFIGURE_PAUSE_S = 0.3
HANDOVER_PAUSE_S = 0.4  # after a member was asked to take over
WINDOW_BYTES, APPEND_BYTES = 512 * 1024, 64 * 1024  # sent to a member without its answer, and in one message
SYNC_BYTES = 1024 * 1024  # of entries that a learner is sent at once
RESEND_S = 0.35  # without progress, after which a member is sent again what it lacks
LEARNER_SYNC_S, RANGES_WAIT_S = 0.5, 1.5  # after which a learner that does not answer is sent entries, or
# digests, once more
LEARN_S, JOIN_S = 0.2, 0.3
LEARN_AFTER_S = 1.4  # of a life without memory before it asks: over PREPARE_LIMIT_S and ACCEPT_LIMIT_S, in
# which a candidate may still count what this replica has promised or accepted in a former life
JOIN_FRESH_S = 1.0  # how long one request to join counts
LISTEN_S = 0.15  # after a start, for heartbeats of a primary that is there
GONE_S, REPLACED_S = 2.0, 1.0  # silence after which a witness is dropped; where another takes its place.
# Both lie well under catchUpS: a dead witness beside its successor would make one more loss one too many
ANNOUNCED_S = 1.0  # between heartbeats to store machines that are no witnesses
NEAR_ENTRIES = 200  # a learner so close behind is taken in
SLOW_SYNC_S, SLOW_FACTOR = 0.1, 4.0  # a write that takes so long, and so much longer than at most other
# members, is left out where enough copies stay; with half of that time it is taken back
