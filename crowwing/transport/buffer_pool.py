"""Reusable read buffers of one size."""

MAX_FREE_BUFFERS = 16
BUFFER_SIZE = 8192  # fits the largest request with its headers


class BufferPool:
    """Keeps a few free buffers for reuse; further ones, allocated in a burst, are freed."""

    def __init__(self) -> None:
        self.free: list[bytearray] = []  # at most MAX_FREE_BUFFERS
        self.in_use = 0

    def acquire(self) -> bytearray:
        self.in_use += 1
        return self.free.pop() if self.free else bytearray(BUFFER_SIZE)

    def release(self, buffer: bytearray) -> None:
        self.in_use -= 1
        if len(self.free) < MAX_FREE_BUFFERS:
            self.free.append(buffer)
