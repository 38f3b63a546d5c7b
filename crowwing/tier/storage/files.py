"""The file operations that the tier's state rests on: the operating system's, or simulated ones in tests."""

import os
from io import FileIO
from pathlib import Path
from typing import Protocol


class OpenFile(Protocol):
    """A file that is open for appending, without a buffer of its own."""

    def write(self, data: memoryview, /) -> int | None:
        """Writes some of `data` and returns how many bytes; raises OSError."""
        ...

    def sync(self) -> None:
        """Returns once the content survives a loss of power; raises OSError."""

    def close(self) -> None:
        """Closes it; what was written and not synced may be lost with the power."""


class Files(Protocol):
    """Operations on the files of one folder; all raise OSError."""

    def read(self, path: Path) -> bytes | None:
        """The content of a file, None where there is none."""
        ...

    def open_truncated(self, path: Path, size: int) -> OpenFile:
        """Opens a file, made if need be, cut to `size` bytes and positioned at its end."""
        ...

    def create(self, path: Path) -> OpenFile:
        """Opens an empty file."""
        ...

    def replace(self, source: Path, target: Path) -> None:
        """Gives a file the name of another, which it replaces."""

    def remove(self, path: Path) -> None:
        """Removes a file, if it is there."""

    def sync_folder(self, folder: Path) -> None:
        """Returns once the names in a folder survive a loss of power."""


class OsFile(FileIO):
    """An open file of the operating system."""

    def sync(self) -> None:
        """Returns once the content survives a loss of power; raises OSError."""
        os.fsync(self.fileno())


class OsFiles:
    """The operating system's files (`Files`)."""

    def read(self, path: Path) -> bytes | None:
        """The content of a file, None where there is none; its folder is made."""
        path.parent.mkdir(parents=True, exist_ok=True)
        return path.read_bytes() if path.exists() else None

    def open_truncated(self, path: Path, size: int) -> OsFile:
        """Opens a file, made if need be, cut to `size` bytes and positioned at its end."""
        file = OsFile(path, "r+b" if path.exists() else "w+b")
        if os.fstat(file.fileno()).st_size > size:
            file.truncate(size)
        file.seek(size)
        return file

    def create(self, path: Path) -> OsFile:
        """Opens an empty file."""
        return OsFile(path, "w+b")

    def replace(self, source: Path, target: Path) -> None:
        """Gives a file the name of another, which it replaces."""
        source.replace(target)

    def remove(self, path: Path) -> None:
        """Removes a file, if it is there."""
        path.unlink(missing_ok=True)

    def sync_folder(self, folder: Path) -> None:
        """Returns once the names in a folder survive a loss of power."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


OS_FILES = OsFiles()


def write_all(file: OpenFile, data: bytes) -> None:
    """Writes all of `data`, in several writes where the file takes only a part at once; raises OSError."""
    unwritten = memoryview(data)
    while unwritten:
        unwritten = unwritten[file.write(unwritten) or 0 :]
