"""The descriptors a process may hold, and how many of them are for those who come to it."""

import resource

RESERVED_DESCRIPTORS = 16  # standard streams, the loop's own, the listener, the farm agent, the control plane


class DescriptorBudget:
    """Sidecars open up to half of the limit; checks and strangers come on top, and calls have a fifth."""

    def __init__(self, configured: int) -> None:
        soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.limit = min(configured, soft) if soft > 0 else configured
        self.max_calls = max(1, self.limit // 5)
        self.max_connections = max(1, self.limit - self.max_calls - RESERVED_DESCRIPTORS)
