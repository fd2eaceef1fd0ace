"""The data folder: an identity, a lock, and a log that each snapshot replaces."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import errno
import fcntl
import os
import pathlib
import secrets

import gevent
import gevent.lock

from knapweedbeam_core import reasons
from knapweedbeam_core.entry import parts
from knapweedbeam_core.log import records
from knapweedbeam_wire.store import frames

IDENTITY_FILE = "identity"
LOCK_FILE = "lock"
LOG_PREFIX = "log-"
TEMPORARY_SUFFIX = ".tmp"
FOLDER_MODE = 0o700
FILE_MODE = 0o600
FIRST_GENERATION = 1
FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})


class Fault(enum.StrEnum):
    """What is wrong with a data folder."""

    LOCKED = "locked"
    CORRUPT = "corrupt"
    FULL = "full"
    IO = "io"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailure:
    """The data folder cannot be used any more by this process."""

    fault: Fault
    detail: str
    reason: reasons.Reason = reasons.Reason.DISK


class BrokenError(Exception):
    """A fault found inside this module; callers get a `StoreFailure`."""

    def __init__(self, fault: Fault, detail: str) -> None:
        super().__init__(detail)
        self.fault = fault


Work = collections.abc.Callable[[], None]


def run_in_thread(work: Work) -> None:
    """Run blocking work in gevent's thread pool, so that the loop goes on."""
    gevent.get_hub().threadpool.apply(work)


class Store:
    """One data folder; after a failure it refuses everything.

    `apply` calls from several greenlets are done one after another in the order
    in which they came.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        run: collections.abc.Callable[[Work], None] = run_in_thread,
    ) -> None:
        self.folder = folder
        self.run = run
        self.failure: StoreFailure | None = None
        self.lock_fd = -1
        self.log_fd = -1
        self.generation = 0
        self.turn = gevent.lock.BoundedSemaphore()

    def load(self) -> records.RestoredState | StoreFailure:
        """Lock the folder and return what it holds; a torn tail is cut."""
        try:
            self.open_folder()
            self.remove_temporary()
            identity = self.load_identity()
            return self.load_log(identity)
        except (OSError, BrokenError) as error:
            return self.fail(error)

    def apply(self, persist: parts.Persist) -> StoreFailure | None:
        """Write and sync; on return without a failure it is on disk."""
        with self.turn:
            if self.failure is not None:
                return self.failure
            try:
                self.run(lambda: self.write(persist))
            except (OSError, BrokenError) as error:
                return self.fail(error)
            return None

    def close(self) -> None:
        """Release the folder."""
        for descriptor in (self.log_fd, self.lock_fd):
            if descriptor >= 0:
                os.close(descriptor)
        self.log_fd = self.lock_fd = -1

    def fail(self, error: Exception) -> StoreFailure:
        """Note that the folder cannot be used any more."""
        fault = Fault.IO
        if isinstance(error, BrokenError):
            fault = error.fault
        elif isinstance(error, OSError) and error.errno in FULL_ERRNOS:
            fault = Fault.FULL
        self.failure = StoreFailure(fault, f"{self.folder}: {error}")
        self.close()
        return self.failure

    def open_folder(self) -> None:
        """Make the folder if needed, and lock it against other processes."""
        self.folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        self.lock_fd = os.open(self.folder / LOCK_FILE, flags, FILE_MODE)
        try:
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise BrokenError(Fault.LOCKED, "another process uses it") from error

    def remove_temporary(self) -> None:
        """Remove files that were never renamed into place."""
        for path in self.folder.glob(f"*{TEMPORARY_SUFFIX}"):
            path.unlink()

    def load_identity(self) -> str:
        """Return the folder's identity; a new folder gets one, and a log."""
        path = self.folder / IDENTITY_FILE
        if path.exists():
            return path.read_text().strip()
        generations = self.find_generations()
        if not generations:
            self.create(
                self.get_log_path(FIRST_GENERATION), frames.build_snapshot(b"", 0)
            )
        elif len(self.read_log(generations[-1])[1]) > 0:
            raise BrokenError(Fault.CORRUPT, "a log without an identity")
        identity = secrets.token_hex(16)
        self.create(path, identity.encode())
        return identity

    def load_log(self, identity: str) -> records.RestoredState:
        """Return the newest log's content and open it for more."""
        generations = self.find_generations()
        if not generations:
            raise BrokenError(Fault.CORRUPT, "an identity without a log")
        self.generation = generations[-1]
        first, kept, end = self.read_log(self.generation)
        path = self.get_log_path(self.generation)
        self.log_fd = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        if end < path.stat().st_size:
            os.ftruncate(self.log_fd, end)
            os.fsync(self.log_fd)
        self.remove_older()
        (index,) = frames.INDEX.unpack_from(first)
        snapshot = first[frames.INDEX.size :]
        return records.RestoredState(identity, snapshot, index, tuple(kept))

    def read_log(self, generation: int) -> tuple[bytes, list[bytes], int]:
        """Return a log's snapshot payload, its records and where they end."""
        data = self.get_log_path(generation).read_bytes()
        first = frames.read_frame(data, 0)
        if first is None or first.kind != frames.Kind.SNAPSHOT:
            raise BrokenError(Fault.CORRUPT, "the log does not start with a snapshot")
        kept: list[bytes] = []
        end = first.end
        while end < len(data):
            frame = frames.read_frame(data, end)
            if frame is None:
                self.check_tail(data, end)
                break
            kept += frames.split_records(frame.payload)
            end = frame.end
        return first.payload, kept, end

    def check_tail(self, data: bytes, start: int) -> None:
        """Refuse a broken frame that is not the last one."""
        if frames.has_frame_after(data, start):
            raise BrokenError(Fault.CORRUPT, f"a broken record at byte {start}")

    def write(self, persist: parts.Persist) -> None:
        """Write and sync one batch."""
        if persist.snapshot:
            self.start_generation(persist)
            return
        write_all(self.log_fd, frames.build_records(persist.records))
        os.fdatasync(self.log_fd)

    def start_generation(self, persist: parts.Persist) -> None:
        """Put a new log in place of the old one."""
        data = frames.build_snapshot(persist.snapshot, persist.snapshot_index)
        data += frames.build_records(persist.records)
        path = self.get_log_path(self.generation + 1)
        self.create(path, data)
        old_fd = self.log_fd
        self.log_fd = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        os.close(old_fd)
        self.generation += 1
        self.remove_older()

    def create(self, path: pathlib.Path, data: bytes) -> None:
        """Make a file that is there whole or not at all, whatever happens."""
        temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        descriptor = os.open(temporary, flags, FILE_MODE)
        try:
            write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(temporary, path)
        self.sync_folder()

    def sync_folder(self) -> None:
        """Sync the names in the folder."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def find_generations(self) -> list[int]:
        """Return the numbers of the logs in the folder."""
        names = [path.name for path in self.folder.glob(f"{LOG_PREFIX}*")]
        return sorted(int(name.removeprefix(LOG_PREFIX)) for name in names)

    def remove_older(self) -> None:
        """Remove logs that a newer one replaced."""
        for generation in self.find_generations():
            if generation < self.generation:
                self.get_log_path(generation).unlink()

    def get_log_path(self, generation: int) -> pathlib.Path:
        """Return a log's path."""
        return self.folder / f"{LOG_PREFIX}{generation:016d}"


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes, however many calls it takes."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
