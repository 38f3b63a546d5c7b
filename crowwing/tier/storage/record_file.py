"""An append-only file of checksummed records that can be replaced by a compacted one."""

from collections.abc import Iterable
from pathlib import Path

from crowwing.tier.storage.compaction import CompactedFile
from crowwing.tier.storage.errors import AppendError, InstallError, OpenError
from crowwing.tier.storage.files import OS_FILES, Files, OpenFile, write_all
from crowwing.tier.storage.records import decode_records, encode_record

COMPACTED_SUFFIX = ".new"  # appended to the name of a record file for its compacted file


class RecordFile:
    """Appends records and reads them back. A torn record at the end, left by a power failure, is truncated.

    Owned by `store.disk.Disk`. One thread appends and installs; `prepare_compaction` may run concurrently in
    another thread.
    """

    def __init__(self, path: Path, files: Files = OS_FILES) -> None:
        """Sets the path of the file; `open` opens it.

        Args:
            path: the path of the file. During a compaction the compacted file is next to it.
            files: the file operations.
        """
        self._path = path
        self._files = files
        self._file: OpenFile | None = None
        self.size = 0

    def open(self) -> list[bytes]:
        """Opens the file, creating it if missing, and removes a compacted file that was not installed.

        Returns:
            The payloads of the records in the file.

        Raises:
            OpenError: the file can't be opened, read or truncated.
        """
        try:
            data = self._files.read(self._path) or b""
            self._files.remove(self._compacted_path)
            payloads, self.size = decode_records(data)
            self._file = self._files.open_truncated(self._path, self.size)
            self._file.sync()
            self._sync_folder()
        except OSError as error:
            raise OpenError(str(self._path), str(error)) from error
        return payloads

    @property
    def _compacted_path(self) -> Path:
        return self._path.with_name(self._path.name + COMPACTED_SUFFIX)

    def append(self, payloads: Iterable[bytes]) -> None:
        """Appends records with one fsync; on return they are durable against power failure.

        Args:
            payloads: the payloads of the records.

        Raises:
            AppendError: the write or the fsync failed.
        """
        assert self._file is not None, "the file is not open"
        data = b"".join(encode_record(payload) for payload in payloads)
        try:
            write_all(self._file, data)
            self._file.sync()
        except OSError as error:
            raise AppendError(str(self._path), str(error)) from error
        self.size += len(data)

    def prepare_compaction(self, payloads: Iterable[bytes]) -> CompactedFile:
        """Writes a compacted file; another thread may append to the record file meanwhile.

        Args:
            payloads: records equivalent to the current content of the record file.

        Returns:
            The compacted file. Before installing it, the caller must append to it every record that was
            appended to the record file in the meantime.

        Raises:
            CompactionError: writing failed.
        """
        compacted = CompactedFile(self._compacted_path, self._files)
        compacted.append(payloads)
        return compacted

    def install(self, compacted: CompactedFile) -> None:
        """Atomically replaces the record file by a compacted one.

        After a power failure during this call the file has either all old records or all new ones.

        Args:
            compacted: the result of `prepare_compaction`.

        Raises:
            InstallError: the replacement failed; it is unknown which of the two contents is in place.
        """
        assert self._file is not None, "the file is not open"
        try:
            self._files.replace(compacted.path, self._path)
            self._file.close()
            self._file = compacted.file
            self.size = compacted.size
            self._sync_folder()
        except OSError as error:
            if self._file is not compacted.file:
                compacted.discard()
            raise InstallError(str(self._path), str(error)) from error

    def compact(self, payloads: Iterable[bytes]) -> None:
        """Atomically replaces the entire content.

        Args:
            payloads: the new records of the file.

        Raises:
            StorageError: writing or installing the compacted file failed.
        """
        self.install(self.prepare_compaction(payloads))

    def close(self) -> None:
        """Closes the file; appended records are kept."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _sync_folder(self) -> None:
        self._files.sync_folder(self._path.parent)
