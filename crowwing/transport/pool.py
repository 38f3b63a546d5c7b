"""Read buffers of one size, used again."""

SPARE_MOST = 16
BUFFER_SIZE = 8192  # holds a whole request of the largest kind, its headers included


class BufferPool:
    """Lends buffers, and keeps a few spare ones: what a burst took is let go."""

    def __init__(self) -> None:
        self.spare: list[bytearray] = []  # emptied by lending, and never long
        self.lent = 0

    def borrow(self) -> bytearray:
        self.lent += 1
        return self.spare.pop() if self.spare else bytearray(BUFFER_SIZE)

    def give_back(self, buffer: bytearray) -> None:
        self.lent -= 1
        if len(self.spare) < SPARE_MOST:
            self.spare.append(buffer)
