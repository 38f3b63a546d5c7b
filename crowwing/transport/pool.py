"""Read buffers of one size, used again."""

BUFFER_SIZE = 8192  # holds a whole request of the largest kind, its headers included


class BufferPool:
    """Lends buffers; never keeps more spare ones than were lent at once."""

    def __init__(self) -> None:
        self.spare: list[bytearray] = []  # emptied by lending
        self.lent = 0

    def borrow(self) -> bytearray:
        self.lent += 1
        return self.spare.pop() if self.spare else bytearray(BUFFER_SIZE)

    def give_back(self, buffer: bytearray) -> None:
        self.lent -= 1
        self.spare.append(buffer)
