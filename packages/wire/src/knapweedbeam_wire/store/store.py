"""The data folder: an identity, a lock, and a log file that each snapshot replaces."""

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
    """The kind of a data folder's failure."""

    LOCKED = "locked"
    CORRUPT = "corrupt"
    FULL = "full"
    IO = "io"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailure:
    """A failure after which the process cannot use the data folder."""

    fault: Fault
    detail: str
    reason: reasons.Reason = reasons.Reason.DISK


class FolderError(Exception):
    """A fault of the data folder; callers of `Store` get a `StoreFailure` instead."""

    def __init__(self, fault: Fault, detail: str) -> None:
        super().__init__(detail)
        self.fault = fault


BlockingCall = collections.abc.Callable[[], None]


def run_in_thread(work: BlockingCall) -> None:
    """Run blocking work in gevent's thread pool, so that the event loop continues."""
    gevent.get_hub().threadpool.apply(work)


class Store:
    """One data folder; after a failure every `apply` returns that failure.

    Concurrent `apply` calls are serialised in the order of their arrival.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        run: collections.abc.Callable[[BlockingCall], None] = run_in_thread,
    ) -> None:
        self.folder = folder
        self.run = run
        self.failure: StoreFailure | None = None
        self.lock_fd = -1
        self.log_fd = -1
        self.generation = 0
        self.write_lock = gevent.lock.BoundedSemaphore()

    def load(self) -> records.RestoredState | StoreFailure:
        """Lock the folder and return its state; a torn last frame is truncated."""
        try:
            self.open_folder()
            self.remove_temporary()
            identity = self.load_identity()
            return self.load_log(identity)
        except (OSError, FolderError) as error:
            return self.record_failure(error)

    def apply(self, persist: parts.Persist) -> StoreFailure | None:
        """Write and sync a batch, which is on disk unless a failure is returned."""
        with self.write_lock:
            if self.failure is not None:
                return self.failure
            errors: list[Exception] = []

            def try_write() -> None:
                # An error that leaves the thread pool is printed there.
                try:
                    self.write(persist)
                except (OSError, FolderError) as error:
                    errors.append(error)

            self.run(try_write)
            return self.record_failure(errors[0]) if errors else None

    def reopen(self) -> StoreFailure | None:
        """Open the folder again after a failure; a torn last frame is truncated.

        The batch that failed may be on disk in full. Applying it again is harmless: the
        records of a batch replace earlier ones of the same index.
        """
        with self.write_lock:
            self.close()
            self.failure = None
            loaded = self.load()
            return loaded if isinstance(loaded, StoreFailure) else None

    def close(self) -> None:
        """Close the files and release the lock."""
        for descriptor in (self.log_fd, self.lock_fd):
            if descriptor >= 0:
                os.close(descriptor)
        self.log_fd = self.lock_fd = -1

    def record_failure(self, error: Exception) -> StoreFailure:
        """Record the failure and close the folder."""
        fault = Fault.IO
        if isinstance(error, FolderError):
            fault = error.fault
        elif isinstance(error, OSError) and error.errno in FULL_ERRNOS:
            fault = Fault.FULL
        self.failure = StoreFailure(fault, f"{self.folder}: {error}")
        self.close()
        return self.failure

    def open_folder(self) -> None:
        """Create the folder if needed and lock it against other processes."""
        self.folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        self.lock_fd = os.open(self.folder / LOCK_FILE, flags, FILE_MODE)
        try:
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise FolderError(Fault.LOCKED, "locked by another process") from error

    def remove_temporary(self) -> None:
        """Remove temporary files left by a crash before their rename."""
        for path in self.folder.glob(f"*{TEMPORARY_SUFFIX}"):
            path.unlink()

    def load_identity(self) -> str:
        """Return the folder's identity; a new folder gets an identity and a log."""
        path = self.folder / IDENTITY_FILE
        if path.exists():
            return path.read_text().strip()
        generations = self.find_generations()
        if not generations:
            self.create(
                self.get_log_path(FIRST_GENERATION), frames.build_snapshot(b"", 0)
            )
        elif len(self.read_log(generations[-1])[1]) > 0:
            raise FolderError(Fault.CORRUPT, "log with records, but no identity file")
        identity = secrets.token_hex(16)
        self.create(path, identity.encode())
        return identity

    def load_log(self, identity: str) -> records.RestoredState:
        """Return the content of the newest log and open it for appending."""
        generations = self.find_generations()
        if not generations:
            raise FolderError(Fault.CORRUPT, "identity file, but no log")
        self.generation = generations[-1]
        snapshot_payload, log_records, end = self.read_log(self.generation)
        path = self.get_log_path(self.generation)
        self.log_fd = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        if end < path.stat().st_size:
            os.ftruncate(self.log_fd, end)
            os.fsync(self.log_fd)
        self.remove_older()
        (index,) = frames.INDEX.unpack_from(snapshot_payload)
        snapshot = snapshot_payload[frames.INDEX.size :]
        return records.RestoredState(identity, snapshot, index, tuple(log_records))

    def read_log(self, generation: int) -> tuple[bytes, list[bytes], int]:
        """Return a log's snapshot payload, its records and the offset of their end."""
        data = self.get_log_path(generation).read_bytes()
        snapshot_frame = frames.read_frame(data, 0)
        if snapshot_frame is None or snapshot_frame.kind != frames.Kind.SNAPSHOT:
            raise FolderError(Fault.CORRUPT, "the log does not start with a snapshot")
        log_records: list[bytes] = []
        end = snapshot_frame.end
        while end < len(data):
            frame = frames.read_frame(data, end)
            if frame is None:
                self.check_tail(data, end)
                break
            log_records += frames.split_records(frame.payload)
            end = frame.end
        return snapshot_frame.payload, log_records, end

    def check_tail(self, data: bytes, start: int) -> None:
        """Raise if a damaged frame is not the last one: a crash tears only that one."""
        if frames.has_frame_after(data, start):
            raise FolderError(Fault.CORRUPT, f"damaged frame at byte {start}")

    def write(self, persist: parts.Persist) -> None:
        """Append and sync one batch; a snapshot starts a new log."""
        if persist.snapshot:
            self.start_generation(persist)
            return
        write_all(self.log_fd, frames.build_records(persist.records))
        os.fdatasync(self.log_fd)

    def start_generation(self, persist: parts.Persist) -> None:
        """Start a new log with a snapshot and remove the old one."""
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
        """Create a file atomically: write, sync and rename a temporary one."""
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
        """Sync the folder's entries, so that a rename survives a crash."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def find_generations(self) -> list[int]:
        """Return the generation numbers of the logs in the folder, ascending."""
        names = [path.name for path in self.folder.glob(f"{LOG_PREFIX}*")]
        return sorted(int(name.removeprefix(LOG_PREFIX)) for name in names)

    def remove_older(self) -> None:
        """Remove the logs of earlier generations."""
        for generation in self.find_generations():
            if generation < self.generation:
                self.get_log_path(generation).unlink()

    def get_log_path(self, generation: int) -> pathlib.Path:
        """Return a log's path."""
        return self.folder / f"{LOG_PREFIX}{generation:016d}"


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes, also when single writes are short."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
