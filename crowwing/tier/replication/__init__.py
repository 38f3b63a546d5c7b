"""Primary-backup replication, with witnesses that store only terms and views and decide failover.

`replica.py` is the entry point: Replica, a step function without I/O or a clock. `follower.py`,
`candidate.py` and `primary.py` implement the roles; `witness.py`, `member.py` and `recovery.py` what a
replica does in every role; `core.py` holds the state that they share. `terms.py`, `messages.py` and
`records.py` define the values on the wire and on disk, `timing.py` all time-outs and limits.
"""
