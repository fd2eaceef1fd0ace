"""Read and write files within bounds, secret ones with checked modes."""

from __future__ import annotations

import base64
import binascii
import os
import pathlib
import stat
import sys

from knapweedbeam_ctl import failures

FILE_LIMIT_BYTES = 64 * 2**20
SECRET_LIMIT_BYTES = 4_096
KEY_BYTES = 32
SECRET_MODE = 0o600
PUBLIC_MODE = 0o644
OPEN_MODE = stat.S_IRWXG | stat.S_IRWXO
STDIN = pathlib.Path("-")


def read_file(path: pathlib.Path) -> bytes | failures.BadFile:
    """Return a file's content, or that of stdin for `-`."""
    try:
        if path == STDIN:
            content = sys.stdin.buffer.read(FILE_LIMIT_BYTES + 1)
        else:
            with path.open("rb") as file:
                content = file.read(FILE_LIMIT_BYTES + 1)
    except OSError as error:
        return build_failure(path, error)
    if len(content) > FILE_LIMIT_BYTES:
        return failures.BadFile(str(path), f"more than {FILE_LIMIT_BYTES} bytes")
    return content


def read_text(path: pathlib.Path) -> str | failures.BadFile:
    """Return a file's text."""
    content = read_file(path)
    if isinstance(content, failures.BadFile):
        return content
    try:
        return content.decode()
    except UnicodeDecodeError as error:
        return failures.BadFile(str(path), f"is not UTF-8: {error.reason}")


def read_secret(path: pathlib.Path) -> bytes | failures.BadFile:
    """Return the content of a file that is closed to other users."""
    try:
        file = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError as error:
        return build_failure(path, error)
    with os.fdopen(file, "rb") as opened:
        status = os.fstat(file)
        if not stat.S_ISREG(status.st_mode):
            return failures.BadFile(str(path), "is no plain file")
        if status.st_mode & OPEN_MODE:
            mode = stat.S_IMODE(status.st_mode)
            detail = f"has mode {mode:04o}; allowed: 0600 or 0400"
            return failures.BadFile(str(path), detail)
        return opened.read(SECRET_LIMIT_BYTES).strip()


def read_private_key(path: pathlib.Path) -> bytes | failures.BadFile:
    """Return a raw private key from a closed file."""
    text = read_secret(path)
    if isinstance(text, failures.BadFile):
        return text
    return decode_key(path, text)


def read_public_key(path: pathlib.Path) -> bytes | failures.BadFile:
    """Return a raw public key."""
    text = read_file(path)
    if isinstance(text, failures.BadFile):
        return text
    return decode_key(path, text.strip())


def decode_key(path: pathlib.Path, text: bytes) -> bytes | failures.BadFile:
    """Return the raw key that base64 text stands for."""
    try:
        key = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return failures.BadFile(str(path), "is not base64")
    if len(key) != KEY_BYTES:
        detail = f"holds {len(key)} bytes; allowed: {KEY_BYTES}"
        return failures.BadFile(str(path), detail)
    return key


def create_file(
    path: pathlib.Path, content: bytes, mode: int
) -> failures.BadFile | None:
    """Write a new file with its mode; an existing one stays as it is."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC
    try:
        with os.fdopen(os.open(path, flags, mode), "wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
    except OSError as error:
        return build_failure(path, error)
    return None


def encode_key(key: bytes) -> bytes:
    """Return a raw key as a line of base64."""
    return base64.b64encode(key) + b"\n"


def build_failure(path: pathlib.Path, error: OSError) -> failures.BadFile:
    """Return what the system said of a file."""
    return failures.BadFile(str(path), error.strerror or str(error))
