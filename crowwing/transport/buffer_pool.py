"""Read buffers of one size, used again."""

MAX_FREE_BUFFERS = 16
BUFFER_SIZE = 8192  # holds a whole request of the largest kind, its headers included


class BufferPool:
    """Lends buffers, and keeps a few spare ones: what a burst took is let go."""

    def __init__(self) -> None:
        self.free: list[bytearray] = []  # emptied by lending, and never long
        self.in_use = 0

    def acquire(self) -> bytearray:
        self.in_use += 1
        return self.free.pop() if self.free else bytearray(BUFFER_SIZE)

    def release(self, buffer: bytearray) -> None:
        self.in_use -= 1
        if len(self.free) < MAX_FREE_BUFFERS:
            self.free.append(buffer)
