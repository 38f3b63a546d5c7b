"""Errors of the files that store the tier's state. All derive from `StorageError`."""


class StorageError(Exception):
    """A file operation failed; the content of the file is no longer known.

    Attributes:
        path: the path of the file.
        reason: the message of the operating system's error.
    """

    def __init__(self, path: str, reason: str) -> None:
        """Creates the error; for the arguments see the attributes."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class OpenError(StorageError):
    """The file could not be opened, read or truncated to its complete records."""


class AppendError(StorageError):
    """Records could not be appended or fsynced; some of them may be in the file."""


class CompactionError(StorageError):
    """The compacted file could not be written. It is removed, and the record file is unchanged."""


class InstallError(StorageError):
    """Replacing the record file by the compacted file failed; which of them is in place is unknown."""
