"""The file operations used to store the tier's state; tests replace them by simulated ones."""

import os
from io import FileIO
from pathlib import Path
from typing import Protocol


class OpenFile(Protocol):
    """A file opened for appending, without a user-space buffer."""

    def write(self, data: memoryview, /) -> int | None:
        """Writes some of `data` and returns the number of bytes written; raises OSError."""
        ...

    def sync(self) -> None:
        """Makes the written content durable against power failure; raises OSError."""

    def close(self) -> None:
        """Closes the file without an fsync; unsynced writes may be lost on power failure."""


class Files(Protocol):
    """Operations on the files of a folder; all of them raise OSError."""

    def read(self, path: Path) -> bytes | None:
        """Returns the content of a file, or None if it does not exist."""
        ...

    def open_truncated(self, path: Path, size: int) -> OpenFile:
        """Opens a file, creating it if missing, truncates it to `size` bytes and seeks to its end."""
        ...

    def create(self, path: Path) -> OpenFile:
        """Creates a file, or truncates an existing one to length 0, and opens it."""
        ...

    def replace(self, source: Path, target: Path) -> None:
        """Atomically renames `source` to `target`, replacing `target`."""

    def remove(self, path: Path) -> None:
        """Removes a file if it exists."""

    def sync_folder(self, folder: Path) -> None:
        """Makes the directory entries of a folder durable against power failure."""


class OsFile(FileIO):
    """An open file of the operating system."""

    def sync(self) -> None:
        """Makes the written content durable against power failure; raises OSError."""
        os.fsync(self.fileno())


class OsFiles:
    """The files of the operating system; implements `Files`."""

    def read(self, path: Path) -> bytes | None:
        """Returns the content of a file, or None if it does not exist; creates its folder if missing."""
        path.parent.mkdir(parents=True, exist_ok=True)
        return path.read_bytes() if path.exists() else None

    def open_truncated(self, path: Path, size: int) -> OsFile:
        """Opens a file, creating it if missing, truncates it to `size` bytes and seeks to its end."""
        file = OsFile(path, "r+b" if path.exists() else "w+b")
        if os.fstat(file.fileno()).st_size > size:
            file.truncate(size)
        file.seek(size)
        return file

    def create(self, path: Path) -> OsFile:
        """Creates a file, or truncates an existing one to length 0, and opens it."""
        return OsFile(path, "w+b")

    def replace(self, source: Path, target: Path) -> None:
        """Atomically renames `source` to `target`, replacing `target`."""
        source.replace(target)

    def remove(self, path: Path) -> None:
        """Removes a file if it exists."""
        path.unlink(missing_ok=True)

    def sync_folder(self, folder: Path) -> None:
        """Makes the directory entries of a folder durable against power failure."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


OS_FILES = OsFiles()


def write_all(file: OpenFile, data: bytes) -> None:
    """Writes all of `data`, with several writes if the file accepts only a part of it; raises OSError."""
    unwritten = memoryview(data)
    while unwritten:
        unwritten = unwritten[file.write(unwritten) or 0 :]
