"""Bounds that several parts of the decision module share. Times are microseconds."""

WATCH_INTERVAL = 40_000  # between looks at deadlines and gauges while a request is open
IDLE_WATCH_INTERVAL = 200_000  # the same while none is
MAX_USED_SHARE = 0.75  # of the runs, memory or calls that would bring the backend or the service below down
UNHEALTHY_ERROR_RATE = 0.25  # from which work is sent elsewhere
HEALTH_CHECK_SHARE = 0.1  # of the work that an unhealthy backend still takes, to see whether it has recovered
HIGH_REJECTION_RATE = 0.5  # of arrivals of late, from which no other backend is named
