"""The control plane's list of backends, free of I/O.

A backend is listed from the start of its worker agent for as long as it reports itself ready.
"""


class EndpointRegistry:
    def __init__(self, backends: int, expiry: int) -> None:
        self.expiry = expiry
        self.last_report = [0] * backends  # time of the last report or of the worker agent's start; 0: never
        self.ready = [False] * backends
        self.listed: set[int] = set()
        self.suspended = False  # while true, no report is received and no entry expires

    def started(self, now: int, backend: int) -> None:
        """Records that the backend's worker agent has started."""
        self.last_report[backend], self.ready[backend] = now, True

    def report(self, now: int, backend: int, ready: bool) -> None:
        self.last_report[backend], self.ready[backend] = now, ready

    def changes(self, now: int) -> list[tuple[int, bool]]:
        """Returns (backend, listed) for each backend whose listing changed since the last call."""
        if self.suspended:
            return []
        fresh = {
            n for n, at in enumerate(self.last_report) if self.ready[n] and at and now - at < self.expiry
        }
        found = [(n, n in fresh) for n in sorted(fresh ^ self.listed)]
        self.listed = fresh
        return found
