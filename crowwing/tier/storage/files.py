"""The file operations that the tier's state rests on: the operating system's, or simulated ones."""

import os
from pathlib import Path
from typing import BinaryIO, Protocol


class OpenFile(Protocol):
    """A file that is open for appending."""

    def write(self, data: memoryview, /) -> int | None:
        """Writes some of `data` and tells how many bytes; raises OSError."""
        ...

    def close(self) -> None:
        """Closes it; what was written and not synced may be lost with the power."""


class Files(Protocol):
    """Operations on the files of one folder; all raise OSError."""

    def read(self, path: Path) -> bytes | None:
        """The content of a file, None where there is none."""
        ...

    def open_at(self, path: Path, size: int) -> OpenFile:
        """Opens a file, made if need be, cut to `size` bytes and positioned at its end."""
        ...

    def create(self, path: Path) -> OpenFile:
        """Opens an empty file."""
        ...

    def sync(self, file: OpenFile) -> None:
        """Returns once the content outlasts a loss of power."""

    def replace(self, source: Path, target: Path) -> None:
        """Gives a file the name of another, which it replaces."""

    def remove(self, path: Path) -> None:
        """Removes a file, if it is there."""

    def sync_folder(self, folder: Path) -> None:
        """Returns once the names in a folder outlast a loss of power."""


class OsFiles:
    """The operating system's files."""

    def read(self, path: Path) -> bytes | None:
        """The content of a file, None where there is none; its folder is made."""
        path.parent.mkdir(parents=True, exist_ok=True)
        return path.read_bytes() if path.exists() else None

    def open_at(self, path: Path, size: int) -> BinaryIO:
        """Opens a file, made if need be, cut to `size` bytes and positioned at its end."""
        file = open(path, "r+b" if path.exists() else "w+b", buffering=0)
        if os.fstat(file.fileno()).st_size > size:
            file.truncate(size)
        file.seek(size)
        return file  # type: ignore[return-value]

    def create(self, path: Path) -> BinaryIO:
        """Opens an empty file."""
        return open(path, "w+b", buffering=0)  # type: ignore[return-value]

    def sync(self, file: BinaryIO) -> None:
        """Returns once the content outlasts a loss of power."""
        os.fsync(file.fileno())

    def replace(self, source: Path, target: Path) -> None:
        """Gives a file the name of another, which it replaces."""
        os.replace(source, target)

    def remove(self, path: Path) -> None:
        """Removes a file, if it is there."""
        path.unlink(missing_ok=True)

    def sync_folder(self, folder: Path) -> None:
        """Returns once the names in a folder outlast a loss of power."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


OS_FILES = OsFiles()
