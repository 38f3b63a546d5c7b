"""Primary-backup replication, with witnesses that keep only terms and views and decide failover.

`replica.py` is the entrance: Replica, a step function without input, output or clock. What it does in each
role stands in `follower.py`, `candidate.py` and `primary.py`; what it does in all of them in `witness.py`,
`member.py` and `recovery.py`; what these share in `core.py`. `terms.py`, `messages.py` and `records.py` hold
the values on the wire and on disk, `timing.py` all times and bounds.
"""
