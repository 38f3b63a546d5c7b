"""How the file descriptors of a process are divided among its connections."""

import resource

RESERVED_DESCRIPTORS = 16  # standard streams, event loop, listener, worker agent, control plane


class DescriptorBudget:
    """Sidecars open up to half of the limit, health checks and other clients more; calls get a fifth."""

    def __init__(self, configured: int) -> None:
        soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.limit = min(configured, soft) if soft > 0 else configured
        self.max_calls = max(1, self.limit // 5)
        self.max_connections = max(1, self.limit - self.max_calls - RESERVED_DESCRIPTORS)
