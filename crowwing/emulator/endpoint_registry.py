"""What the control plane lists.

Pure; a backend is listed once its farm agent is up, as long as it reports.
"""


class EndpointRegistry:
    def __init__(self, backends: int, expiry: int) -> None:
        self.expiry = expiry
        self.last_report = [0] * backends  # the last report, or the farm agent's start; 0: never
        self.ready = [False] * backends
        self.listed: set[int] = set()
        self.suspended = False  # nothing is heard, nothing lapses

    def started(self, now: int, backend: int) -> None:
        """Its farm agent came up."""
        self.last_report[backend], self.ready[backend] = now, True

    def report(self, now: int, backend: int, ready: bool) -> None:
        self.last_report[backend], self.ready[backend] = now, ready

    def changes(self, now: int) -> list[tuple[int, bool]]:
        """Backends that came on the list or went from it since the last look."""
        if self.suspended:
            return []
        fresh = {
            n for n, at in enumerate(self.last_report) if self.ready[n] and at and now - at < self.expiry
        }
        found = [(n, n in fresh) for n in sorted(fresh ^ self.listed)]
        self.listed = fresh
        return found
