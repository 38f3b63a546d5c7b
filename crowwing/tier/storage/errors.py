"""The errors of the files that hold the tier's state. All derive from `StorageError`."""


class StorageError(Exception):
    """A file operation failed; the content of the file is not known any more.

    Attributes:
        path: the file.
        reason: what the operating system said.
    """

    def __init__(self, path: str, reason: str) -> None:
        """Describes the error; see the attributes."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class OpenError(StorageError):
    """The file could not be opened, read or cut to its complete records."""


class AppendError(StorageError):
    """Records could not be appended or synced; some of them may be in the file."""


class CompactionError(StorageError):
    """The compacted file could not be written. It is removed; the file beside it is as it was."""


class InstallError(StorageError):
    """The compacted file could not take the place of the file, or it is not known whether it has."""
