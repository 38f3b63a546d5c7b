"""An append-only file of checksummed records, and its replacement by a compacted one."""

from collections.abc import Iterable
from pathlib import Path

from crowwing.tier.storage.compaction import CompactedFile
from crowwing.tier.storage.errors import AppendError, InstallError, OpenError
from crowwing.tier.storage.files import OS_FILES, Files, OpenFile, write_all
from crowwing.tier.storage.records import decode_records, encode_record

COMPACTED_SUFFIX = ".new"  # behind the name of a file, for the compacted one beside it


class RecordFile:
    """Appends records and reads them back. A torn record at the end, left by a loss of power, is cut off.

    `store.disk.Disk` owns it. One thread appends and installs; `prepare_compaction` may run in another one
    meanwhile.
    """

    def __init__(self, path: Path, files: Files = OS_FILES) -> None:
        """Names the file; `open` opens it.

        Args:
            path: the file. The compacted one stands beside it meanwhile.
            files: the file operations.
        """
        self._path = path
        self._files = files
        self._file: OpenFile | None = None
        self.size = 0

    def open(self) -> list[bytes]:
        """Opens the file, creating it if need be, and removes a compacted file that was not installed.

        Returns:
            The payloads of its records.

        Raises:
            OpenError: the file can't be opened or read.
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
        """Appends records with one sync; when this returns they survive a loss of power.

        Args:
            payloads: the records' contents.

        Raises:
            AppendError: writing or syncing failed.
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
        """Writes a compacted file, while another thread may append to this one.

        Args:
            payloads: records that stand for all that the file holds now.

        Returns:
            The compacted file. Before it is installed, what was appended meanwhile is appended to it too.

        Raises:
            CompactionError: writing failed.
        """
        compacted = CompactedFile(self._compacted_path, self._files)
        compacted.append(payloads)
        return compacted

    def install(self, compacted: CompactedFile) -> None:
        """Puts a compacted file in the place of the file in one step.

        After a loss of power meanwhile, either all old records or all new ones are there.

        Args:
            compacted: what `prepare_compaction` made.

        Raises:
            InstallError: it failed; which of the two contents is there is not known.
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
        """Replaces the whole content at once.

        Args:
            payloads: the records that stand in the file from then on.

        Raises:
            StorageError: writing or installing failed.
        """
        self.install(self.prepare_compaction(payloads))

    def close(self) -> None:
        """Closes the file; what was appended stays."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _sync_folder(self) -> None:
        self._files.sync_folder(self._path.parent)
