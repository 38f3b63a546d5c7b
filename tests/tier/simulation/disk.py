"""A simulated disk: files and names are durable once synced; writes take time and may be torn."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from crowwing.tier.storage.errors import StorageError
from crowwing.tier.storage.files import OpenFile
from tests.tier.simulation.loop import SimulatedLoop

SYNC_S = (0.0005, 0.006)
COMPACTION_S = (0.01, 0.3)
POLL_S = 0.01


class PowerLostError(Exception):
    """Power was lost during an operation."""


@dataclass(eq=False)
class Inode:
    """The content of a file; each write since the last sync may be lost independently."""

    content: bytearray = field(default_factory=bytearray)
    unsynced: list[tuple[int, int]] = field(default_factory=list)  # offsets and lengths

    def lose_power(self, random: Random) -> None:
        """Keeps, loses or tears each write since the last sync at random; with probability 0.3 loses all."""
        all_gone = random.random() < 0.3
        end = self.unsynced[0][0] if self.unsynced else len(self.content)
        for offset, length in self.unsynced:
            fate = 0.0 if all_gone else random.choice([0.0, 1.0, random.random()])
            kept = int(length * fate)
            for position in range(offset + kept, offset + length):
                self.content[position] = 0
            if kept:
                end = offset + kept
        del self.content[end:]
        self.unsynced.clear()


@dataclass(eq=False)
class SimulatedFile:
    """An open file."""

    disk: "SimulatedFiles"
    name: str
    inode: Inode

    def write(self, data: memoryview) -> int:
        """Appends to the content."""
        self.disk.step()
        if self.disk.is_full:
            raise OSError(28, "no space left on device")
        self.inode.unsynced.append((len(self.inode.content), len(data)))
        self.inode.content += data
        return len(data)

    def sync(self) -> None:
        """Makes the content durable."""
        self.disk.sync(self)

    def close(self) -> None:
        """Nothing is flushed."""


class SimulatedFiles:
    """The files of one machine (crowwing.tier.storage.files.Files)."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._names: dict[str, Inode] = {}
        self._durable_names: dict[str, Inode] = {}
        self.is_full = False
        self._steps_left: int | None = None

    def step(self) -> None:
        """Counts an operation; raises PowerLostError where the power is lost now."""
        if self._steps_left is not None:
            self._steps_left -= 1
            if self._steps_left < 0:
                raise PowerLostError

    def read(self, path: Path) -> bytes | None:
        """The content of a file."""
        inode = self._names.get(path.name)
        return None if inode is None else bytes(inode.content)

    def open_truncated(self, path: Path, size: int) -> SimulatedFile:
        """Opens a file truncated to a size."""
        inode = self._names.setdefault(path.name, Inode())
        del inode.content[size:]
        return SimulatedFile(self, path.name, inode)

    def create(self, path: Path) -> SimulatedFile:
        """Opens an empty file."""
        self.step()
        if self.is_full:
            raise OSError(28, "no space left on device")
        inode = self._names[path.name] = Inode()
        return SimulatedFile(self, path.name, inode)

    def sync(self, file: OpenFile) -> None:
        """Makes the content durable, and a new name with it."""
        assert isinstance(file, SimulatedFile)
        self.step()
        if self.is_full and file.inode.unsynced:
            raise OSError(28, "no space left on device")
        file.inode.unsynced.clear()
        if self._names.get(file.name) is file.inode:
            self._durable_names.setdefault(file.name, file.inode)

    def replace(self, source: Path, target: Path) -> None:
        """Renames; each of the two names may be lost independently until the folder is synced."""
        self.step()
        self._names[target.name] = self._names.pop(source.name)

    def remove(self, path: Path) -> None:
        """Removes a name."""
        self.step()
        self._names.pop(path.name, None)

    def sync_folder(self, folder: Path) -> None:
        """Makes all names durable."""
        self.step()
        self._durable_names = dict(self._names)

    def size(self) -> int:
        """Bytes of all files."""
        return sum(len(inode.content) for inode in self._names.values())

    def lose_power(self, work: Callable[[], None] | None) -> None:
        """Loses unsynced data at random; `work` is in progress and is interrupted at a random step."""
        if work is not None:
            self._steps_left = self._random.randint(0, 6)
            with suppress(PowerLostError, OSError, StorageError):
                work()
            self._steps_left = None
        names: dict[str, Inode] = {}
        for name in sorted({*self._names, *self._durable_names}):
            kept = self._random.choice([self._names, self._durable_names]).get(name)
            if kept is not None:
                names[name] = kept
        for name in sorted(names):
            names[name].lose_power(self._random)
        self._names, self._durable_names = names, dict(names)

    def wipe(self) -> None:
        """Loses all files."""
        self._names, self._durable_names = {}, {}


@dataclass(eq=False)
class CompactionWork:
    """A compaction that runs concurrently with the writes."""

    work: Callable[[], Any]
    is_done: bool = False
    value: Any = None
    error: Exception | None = None

    def run(self) -> None:
        """Runs the compaction unless it has run."""
        if self.is_done:
            return
        self.is_done = True
        try:
            self.value = self.work()
        except Exception as error:  # raised by `result`, as by a future
            self.error = error

    def done(self) -> bool:
        """Whether it has ended."""
        return self.is_done

    def result(self) -> Any:  # noqa: ANN401
        """Its result; raises the error that ended it."""
        self.run()
        if self.error is not None:
            raise self.error
        return self.value


class SimulatedWorkers:
    """Writes that take simulated time (crowwing.tier.store.workers.DiskWorkers)."""

    def __init__(self, loop: SimulatedLoop, random: Random, disk_faults: "DiskFaults") -> None:
        self._loop, self._random, self._disk_faults = loop, random, disk_faults
        self._lock = asyncio.Lock()
        self.in_progress: Callable[[], Any] | None = None

    async def write(self, work: Callable[..., Any], *arguments: Any) -> Any:  # noqa: ANN401
        """Runs it after a simulated delay."""
        async with self._lock:
            self.in_progress = lambda: work(*arguments)
            await asyncio.sleep(self._random.uniform(*SYNC_S) * self._disk_faults.factor)
            while self._loop.time() < self._disk_faults.stalled_until:
                await asyncio.sleep(POLL_S)
            self.in_progress = None
            return work(*arguments)

    def compact(self, work: Callable[..., Any], *arguments: Any) -> CompactionWork:  # noqa: ANN401
        """Runs it concurrently with the writes."""
        compaction = CompactionWork(lambda: work(*arguments))
        self._loop.call_later(self._random.uniform(*COMPACTION_S) * self._disk_faults.factor, compaction.run)
        return compaction


@dataclass
class DiskFaults:
    """The faults of a machine's disk."""

    factor: float = 1.0
    stalled_until: float = 0.0
