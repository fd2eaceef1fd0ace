"""Typed options: each parses its text, or states which texts are allowed."""

from __future__ import annotations

import base64
import binascii
import dataclasses
import ipaddress
import os
import pathlib
import re
import stat
import typing
import urllib.parse

from knapweedbeam_server.config import settings

KEY_BYTES = 32
KEY_FILE_LIMIT_BYTES = 4096
PORT_MAX = 65_535
NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
NAME_ALLOWED = "a name of a-z, 0-9, '.', '_' and '-', at most 63 characters"
INTEGER = re.compile(r"[0-9]{1,18}")
BYTE_SIZE = re.compile(r"([0-9]{1,15}) ?(KiB|MiB|GiB)?")
BYTE_UNITS = {None: 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}
ADDRESS_ALLOWED = "an IP number and a port, such as 127.0.0.1:8080 or [::1]:8080"
GROUP_AND_OTHERS_MODE = stat.S_IRWXG | stat.S_IRWXO

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """A text that an option rejects."""

    found: str
    allowed: str


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """The folder of the settings file, from which relative paths start."""

    folder: pathlib.Path


class Option(typing.Generic[T]):
    """One key of a section.

    `key` is the key in the file if it differs from the attribute's name.
    """

    def __init__(self, help_text: str, default: str, key: str = ""):
        self.help_text = help_text
        self.default = default
        self.key = key

    def parse(self, text: str, context: Context) -> T | Invalid:
        """Return the value of `text`, or `Invalid`."""
        raise NotImplementedError


class Name(Option[str]):
    """A short name."""

    def parse(self, text: str, context: Context) -> str | Invalid:
        """Return the name."""
        return text if NAME.fullmatch(text) else Invalid(text, NAME_ALLOWED)


class NameList(Option[tuple[str, ...]]):
    """Distinct names, separated by blanks."""

    def parse(self, text: str, context: Context) -> tuple[str, ...] | Invalid:
        """Return the names."""
        names = tuple(text.split())
        for name in names:
            if not NAME.fullmatch(name):
                return Invalid(name, NAME_ALLOWED)
        if len(set(names)) < len(names):
            return Invalid(text, "each name once")
        return names


class Integer(Option[int]):
    """A whole number between two bounds."""

    def __init__(self, help_text: str, default: str, low: int, high: int):
        super().__init__(help_text, default)
        self.low = low
        self.high = high

    def parse(self, text: str, context: Context) -> int | Invalid:
        """Return the number."""
        if INTEGER.fullmatch(text) and self.low <= int(text) <= self.high:
            return int(text)
        return Invalid(text, f"a whole number from {self.low} to {self.high}")


class ByteSize(Option[int]):
    """A number of bytes, with an optional unit `KiB`, `MiB` or `GiB`."""

    def __init__(self, help_text: str, default: str, low: int, high: int):
        super().__init__(help_text, default)
        self.low = low
        self.high = high

    def parse(self, text: str, context: Context) -> int | Invalid:
        """Return the number of bytes."""
        match = BYTE_SIZE.fullmatch(text)
        if match is not None:
            size = int(match[1]) * BYTE_UNITS[match[2]]
            if self.low <= size <= self.high:
                return size
        allowed = f"{self.low} to {self.high} bytes, such as 65536 or 64 KiB"
        return Invalid(text, allowed)


class Choice(Option[str]):
    """One of a few words."""

    def __init__(self, help_text: str, default: str, words: tuple[str, ...]):
        super().__init__(help_text, default)
        self.words = words

    def parse(self, text: str, context: Context) -> str | Invalid:
        """Return the word."""
        return text if text in self.words else Invalid(text, ", ".join(self.words))


class Address(Option[settings.Address]):
    """An IP number and a port."""

    def parse(self, text: str, context: Context) -> settings.Address | Invalid:
        """Return the address."""
        address = parse_address(text)
        return address or Invalid(text, ADDRESS_ALLOWED)


class OptionalAddress(Option[settings.Address | None]):
    """An IP number and a port, or nothing."""

    def parse(self, text: str, context: Context) -> settings.Address | Invalid | None:
        """Return the address, if any."""
        if not text:
            return None
        address = parse_address(text)
        return address or Invalid(text, ADDRESS_ALLOWED + ", or empty")


class OptionalUrl(Option[str]):
    """An `http` URL with an IP number and a port, or nothing."""

    def parse(self, text: str, context: Context) -> str | Invalid:
        """Return the URL without a slash at its end."""
        if not text:
            return ""
        allowed = "a URL by IP number, such as http://127.0.0.1:9000, or empty"
        try:
            parts = urllib.parse.urlsplit(text)
        except ValueError:
            return Invalid(text, allowed)
        is_plain = not (parts.query or parts.fragment or parts.username)
        if parts.scheme == "http" and is_plain and parse_address(parts.netloc):
            return text.rstrip("/")
        return Invalid(text, allowed)


class OptionalPath(Option[pathlib.Path | None]):
    """A path, or nothing."""

    def parse(self, text: str, context: Context) -> pathlib.Path | Invalid | None:
        """Return the path; a relative one starts from the folder of the settings."""
        if "\0" in text:
            return Invalid(repr(text), "a path")
        return context.folder / text if text else None


class PublicKeys(Option[tuple[bytes, ...]]):
    """Ed25519 public keys in base64, separated by blanks."""

    def parse(self, text: str, context: Context) -> tuple[bytes, ...] | Invalid:
        """Return the raw keys."""
        words = text.split()
        keys = [decode_key(word) for word in words]
        for word, key in zip(words, keys, strict=True):
            if key is None:
                return Invalid(word, f"{KEY_BYTES} bytes in base64")
        valid_keys = tuple(key for key in keys if key is not None)
        if len(set(valid_keys)) < len(valid_keys):
            return Invalid(text, "each key once")
        return valid_keys


class SecretFile(Option[bytes]):
    """A file with a secret of 32 bytes in base64, closed to other users.

    An empty path gives an empty secret, which `load` replaces by a random one.
    """

    def parse(self, text: str, context: Context) -> bytes | Invalid:
        """Return the raw secret."""
        if not text:
            return b""
        path = str(context.folder / text)
        try:
            return read_secret(path)
        except (OSError, ValueError) as error:
            return Invalid(f"{path}: {error}", "a file that can be read")


def parse_address(text: str) -> settings.Address | None:
    """Return the address that `text` holds as IP number and port, or None."""
    host, _, port = text.rpartition(":")
    if not INTEGER.fullmatch(port) or not 1 <= int(port) <= PORT_MAX:
        return None
    try:
        if host.startswith("[") and host.endswith("]"):
            return settings.Address(str(ipaddress.IPv6Address(host[1:-1])), int(port))
        return settings.Address(str(ipaddress.IPv4Address(host)), int(port))
    except ValueError:
        return None


def decode_key(text: str | bytes) -> bytes | None:
    """Return the key that base64 `text` encodes, or None if it is not 32 bytes."""
    try:
        key = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return None
    return key if len(key) == KEY_BYTES else None


def read_secret(path: str) -> bytes | Invalid:
    """Read a secret and check the mode of its file; raise `OSError` on failure."""
    file = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    try:
        status = os.fstat(file)
        if not stat.S_ISREG(status.st_mode):
            return Invalid(path, "a regular file")
        if status.st_mode & GROUP_AND_OTHERS_MODE:
            mode = stat.S_IMODE(status.st_mode)
            return Invalid(f"{path} with mode {mode:04o}", "mode 0600 or 0400")
        text = os.read(file, KEY_FILE_LIMIT_BYTES)
    finally:
        os.close(file)
    key = decode_key(text.strip())
    return key or Invalid(f"{path} with other text", f"{KEY_BYTES} bytes in base64")
