"""Times and bounds of replication, each with the decision that it stands for.

Durations are in seconds (`_S`), sizes in bytes (`_BYTES`), lengths of the log in entries (`_ENTRIES`).
"""

# Heartbeats and the lease.

# Between two heartbeats of the primary, and two SyncInProgress of a candidate.
HEARTBEAT_INTERVAL_S = 0.07

# A witness that heard the primary so recently promises nobody else a term.
LEADER_STICKINESS_S = 0.35

# A primary confirmed so recently is the only one. Under LEADER_STICKINESS_S.
LEASE_S = 0.3

# Responses to heartbeats that are older are not counted any more.
HEARTBEAT_HISTORY_S = 2.0

# Between heartbeats to store machines that are neither witnesses nor learners.
ANNOUNCEMENT_INTERVAL_S = 1.0

# Silence of the primary after which a spare asks to join: two announcements were lost.
SPARE_JOIN_TIMEOUT_S = 2.5

# Elections.

# After a start, for heartbeats of a primary that is there already.
STARTUP_LISTEN_S = 0.15

# Silence of the primary after which the first member campaigns.
ELECTION_TIMEOUT_S = 0.4

# How much longer each further member waits, so that one campaigns at a time.
ELECTION_STAGGER_S = 0.12

# Upper bound of the random part, for members that wait equally long.
ELECTION_JITTER_S = 0.05

# Writes of its own disk that a member waits longer, so that slow disks don't campaign in turns.
ELECTION_DISK_WRITES = 3.0

# Between two rounds of pre-votes.
PRE_VOTE_RETRY_S = 0.1

# How long a candidate with a majority of promises waits for the others.
PREPARE_GRACE_S = 0.08

# The same for a primary that changes its own view: it knows who is silent and waits for the others alone.
RECONFIGURATION_GRACE_S = 0.3

# After which a candidate without a majority of promises steps down.
PREPARE_TIMEOUT_S = 1.0

# After which a candidate goes on with those that are synchronized, where they are enough.
SYNC_GRACE_S = 0.6

# After which a candidate that has synchronized too few steps down.
SYNC_TIMEOUT_S = 3.0

# After which a candidate whose view was not accepted steps down.
ACCEPT_TIMEOUT_S = 1.2

# Changes of the view.

# Between the start of a view and the next change of it by its primary.
RECONFIGURATION_PAUSE_S = 0.3

# Between two requests to a member to take over.
TRANSFER_PAUSE_S = 0.4

# Silence after which the primary leaves a member out.
MEMBER_TIMEOUT_S = 0.4

# A learner that is so close behind becomes a member, in entries and in bytes of their payloads.
MAX_LEARNER_LAG_ENTRIES = 200
MAX_LEARNER_LAG_BYTES = 256 * 1024

# After the start of a view, for spares to respond before learners are chosen among them.
LEARNER_CHOICE_DELAY_S = 0.1

# Silence of a learner after which a spare takes its place.
LEARNER_TIMEOUT_S = 1.0

# Without progress, after which another spare takes a learner's place.
LEARNER_STALLED_S = 4.0

# For which a learner is passed over that made no progress, or that a view left out.
LEARNER_BACKOFF_S = 2.0

# A member whose disk takes so long for a write is left out where enough members stay, if it is also
# SLOW_DISK_FACTOR slower than most. With half of that time it is taken back.
SLOW_DISK_SYNC_S = 0.1

# How many times the median write time of the members.
SLOW_DISK_FACTOR = 4.0

# Entries on their way.

# Sent to a member without its acknowledgement.
SEND_WINDOW_BYTES = 256 * 1024

# Of entries in one AppendRequest.
MAX_APPEND_BYTES = 64 * 1024

# Of entries that a learner is sent at once.
MAX_SYNC_BYTES = 256 * 1024

# Without progress, after which a member is sent again what it lacks.
RESEND_AFTER_S = 0.35

# The most that this grows to for a member that makes no progress: copies would fill the link.
MAX_RESEND_WAIT_S = 2.8

# After which a learner that does not respond is sent entries once more.
LEARNER_ENTRIES_WAIT_S = 0.5

# The same for digests of ranges.
LEARNER_RANGES_WAIT_S = 1.5

# Joining and recovery.

# Between two requests to join.
JOIN_RETRY_S = 0.3

# Peers that one request to join is sent to, in turn, so that many machines that start at once ask few each.
JOIN_FANOUT = 5

# How long one request to join counts.
JOIN_REQUEST_VALID_S = 1.0

# Between two recovery requests.
RECOVERY_RETRY_S = 0.2

# Of an incarnation without its disk before its first recovery request. Over PREPARE_TIMEOUT_S and
# ACCEPT_TIMEOUT_S, during which a candidate may still count what an earlier incarnation promised or accepted.
RECOVERY_DELAY_S = 1.4
