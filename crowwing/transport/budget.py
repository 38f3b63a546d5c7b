"""The descriptors a process may hold, and how many of them are for those who come to it."""

import resource

KEPT_FOR_ITSELF = 16  # standard streams, the loop's own, the listener, the farm agent, the control plane


class DescriptorBudget:
    """Sidecars open up to half of the limit; health checks come on top, and calls below have the rest."""

    def __init__(self, told: int) -> None:
        soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.limit = min(told, soft) if soft > 0 else told
        self.incoming = max(1, self.limit // 2 + self.limit // 16 + 4)
        self.below = max(1, self.limit - self.incoming - KEPT_FOR_ITSELF)
