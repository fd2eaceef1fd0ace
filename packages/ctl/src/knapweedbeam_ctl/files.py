"""Read files up to a maximum size, check the modes of secrets, create files."""

from __future__ import annotations

import base64
import binascii
import os
import pathlib
import stat
import sys

from knapweedbeam_ctl import failures

MAX_FILE_BYTES = 64 * 2**20
MAX_SECRET_BYTES = 4_096
KEY_BYTES = 32
SECRET_MODE = 0o600
PUBLIC_MODE = 0o644
GROUP_AND_OTHERS_MODE = stat.S_IRWXG | stat.S_IRWXO
STDIN = pathlib.Path("-")


def read_file(path: pathlib.Path) -> bytes | failures.BadFile:
    """Return a file's content, or that of stdin for `-`."""
    try:
        if path == STDIN:
            content = sys.stdin.buffer.read(MAX_FILE_BYTES + 1)
        else:
            with path.open("rb") as file:
                content = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        return build_bad_file(path, error)
    if len(content) > MAX_FILE_BYTES:
        return failures.BadFile(str(path), f"is larger than {MAX_FILE_BYTES} bytes")
    return content


def read_text(path: pathlib.Path) -> str | failures.BadFile:
    """Return the text of a UTF-8 file."""
    content = read_file(path)
    if isinstance(content, failures.BadFile):
        return content
    try:
        return content.decode()
    except UnicodeDecodeError as error:
        return failures.BadFile(str(path), f"is not UTF-8: {error.reason}")


def read_secret(path: pathlib.Path) -> bytes | failures.BadFile:
    """Return the content of a regular file that only its owner can access."""
    try:
        file = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError as error:
        return build_bad_file(path, error)
    with os.fdopen(file, "rb") as opened:
        status = os.fstat(file)
        if not stat.S_ISREG(status.st_mode):
            return failures.BadFile(str(path), "is not a regular file")
        if status.st_mode & GROUP_AND_OTHERS_MODE:
            mode = stat.S_IMODE(status.st_mode)
            detail = f"has mode {mode:04o}; allowed: 0600 or 0400"
            return failures.BadFile(str(path), detail)
        return opened.read(MAX_SECRET_BYTES).strip()


def read_private_key(path: pathlib.Path) -> bytes | failures.BadFile:
    """Return the raw private key in a file that only its owner can access."""
    text = read_secret(path)
    if isinstance(text, failures.BadFile):
        return text
    return decode_key(path, text)


def read_public_key(path: pathlib.Path) -> bytes | failures.BadFile:
    """Return the raw public key in a file."""
    text = read_file(path)
    if isinstance(text, failures.BadFile):
        return text
    return decode_key(path, text.strip())


def decode_key(path: pathlib.Path, text: bytes) -> bytes | failures.BadFile:
    """Return the raw key from its base64 text."""
    try:
        key = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return failures.BadFile(str(path), "is not base64")
    if len(key) != KEY_BYTES:
        detail = f"holds a key of {len(key)} bytes; expected: {KEY_BYTES}"
        return failures.BadFile(str(path), detail)
    return key


def create_file(
    path: pathlib.Path, content: bytes, mode: int
) -> failures.BadFile | None:
    """Write and sync a new file with a mode; fail if the file exists."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC
    try:
        with os.fdopen(os.open(path, flags, mode), "wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
    except OSError as error:
        return build_bad_file(path, error)
    return None


def encode_key(key: bytes) -> bytes:
    """Return a raw key as a line of base64."""
    return base64.b64encode(key) + b"\n"


def build_bad_file(path: pathlib.Path, error: OSError) -> failures.BadFile:
    """Return the failure for an error of the operating system."""
    return failures.BadFile(str(path), error.strerror or str(error))
