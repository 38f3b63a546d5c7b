"""Time-outs, intervals and limits of replication.

Durations are in seconds (`_S`), sizes in bytes (`_BYTES`), log lengths in entries (`_ENTRIES`).
"""

# Heartbeats and the lease.

# Interval of the primary's heartbeats, and of a candidate's SyncInProgress messages.
HEARTBEAT_INTERVAL_S = 0.07

# A witness that has received a message of the primary within this time promises no other replica a term.
LEADER_STICKINESS_S = 0.35

# Duration of the lease: a primary confirmed within this time is the only one. Below LEADER_STICKINESS_S.
LEASE_S = 0.3

# Responses to older heartbeats are ignored.
HEARTBEAT_HISTORY_S = 2.0

# Interval of heartbeats to store machines that are neither witnesses nor learners.
ANNOUNCEMENT_INTERVAL_S = 1.0

# Time without a heartbeat after which a spare asks to join: two announcements were lost.
SPARE_JOIN_TIMEOUT_S = 2.5

# Elections.

# Wait after a start for heartbeats of an existing primary.
STARTUP_LISTEN_S = 0.15

# Election time-out: time without a message of the primary after which the first member campaigns.
ELECTION_TIMEOUT_S = 0.4

# Added to the election time-out for each further member by rank, so that one campaigns at a time.
ELECTION_STAGGER_S = 0.12

# Upper bound of the random part of the election time-out, for members with equal time-outs.
ELECTION_JITTER_S = 0.05

# Added to the election time-out, in writes of the member's own disk: members with slow disks would otherwise
# campaign against each other.
ELECTION_DISK_WRITES = 3.0

# Interval of pre-vote rounds.
PRE_VOTE_RETRY_S = 0.1

# How long a candidate that has promises of a majority waits for the remaining ones.
PREPARE_GRACE_S = 0.08

# The same for a primary that changes its own view: it knows which replicas do not respond and does not wait
# for those.
RECONFIGURATION_GRACE_S = 0.3

# A candidate without promises of a majority steps down after this time.
PREPARE_TIMEOUT_S = 1.0

# A candidate proposes a view of the members synchronized by this time, if they are enough.
SYNC_GRACE_S = 0.6

# A candidate that has synchronized too few members steps down after this time.
SYNC_TIMEOUT_S = 3.0

# A candidate whose view is not accepted steps down after this time.
ACCEPT_TIMEOUT_S = 1.2

# View changes.

# Minimum time from the start of a view to a reconfiguration by its primary.
RECONFIGURATION_PAUSE_S = 0.3

# Interval of leadership transfer attempts.
TRANSFER_PAUSE_S = 0.4

# Time without a response after which the primary removes a member from the view.
MEMBER_TIMEOUT_S = 0.4

# Maximum lag with which a learner becomes a member, in entries and in bytes of their payloads.
MAX_LEARNER_LAG_ENTRIES = 200
MAX_LEARNER_LAG_BYTES = 256 * 1024

# Wait after the start of a view for heartbeat responses of spares, before learners are chosen among them.
LEARNER_CHOICE_DELAY_S = 0.1

# Time without a response after which a learner is replaced by another spare.
LEARNER_TIMEOUT_S = 1.0

# Time without progress after which a learner is replaced by another spare.
LEARNER_STALLED_S = 4.0

# Back-off before a learner that failed to catch up, or that the new view did not include, is chosen again.
LEARNER_BACKOFF_S = 2.0

# A member whose disk takes this long for a write is removed if enough members remain and its disk is also
# SLOW_DISK_FACTOR slower than the median. It is readmitted at half of that time.
SLOW_DISK_SYNC_S = 0.1

# Multiple of the members' median write time.
SLOW_DISK_FACTOR = 4.0

# Entries in flight.

# Window: unacknowledged payload bytes that are sent to a member.
SEND_WINDOW_BYTES = 256 * 1024

# Payload bytes in one AppendRequest.
MAX_APPEND_BYTES = 64 * 1024

# Payload bytes in one SyncRequest, except the one that completes a repair.
MAX_SYNC_BYTES = 256 * 1024

# Time without progress after which unacknowledged entries are sent to a member again.
RESEND_AFTER_S = 0.35

# Upper bound of that time, which doubles without progress: frequent resends would saturate the link.
MAX_RESEND_WAIT_S = 2.8

# Time after which entries are sent again to a learner that has not responded.
LEARNER_ENTRIES_WAIT_S = 0.5

# The same for range digests.
LEARNER_RANGES_WAIT_S = 1.5

# Joining and recovery.

# Interval of join requests.
JOIN_RETRY_S = 0.3

# Peers per join request, chosen round robin, so that many machines that start at once do not ask all peers.
JOIN_FANOUT = 5

# How long a join request is valid.
JOIN_REQUEST_VALID_S = 1.0

# Interval of recovery requests.
RECOVERY_RETRY_S = 0.2

# Wait of a replica that has lost its disk before its first recovery request. Above PREPARE_TIMEOUT_S and
# ACCEPT_TIMEOUT_S, during which a candidate may still count what an earlier incarnation promised or accepted.
RECOVERY_DELAY_S = 1.4
