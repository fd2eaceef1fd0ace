"""The signed form of a bundle: its text, followed by a comment line per signature.

A signature covers the SHA-256 digest of the unsigned bytes. TOML parsers ignore
the comment lines, so the signed text parses like the unsigned one.
"""

from __future__ import annotations

import base64
import binascii
import collections.abc
import dataclasses
import hashlib

from cryptography import exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519

from knapweedbeam_core.bundles import model

CONTEXT = b"knapweedbeam bundle 1\n"
MAX_SIGNATURES = 64
KEY_BYTES = 32
SIGNATURE_BYTES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Signature:
    """One operator's signature, with the public key that it claims to be from."""

    key: bytes
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Signed:
    """The parts of a signed text; `digest` is in hexadecimal."""

    unsigned: str
    digest: str
    signatures: tuple[Signature, ...]


def get_digest(unsigned: str) -> str:
    """Return the SHA-256 digest of the unsigned bytes in hexadecimal."""
    return hashlib.sha256(unsigned.encode()).hexdigest()


def parse_signed(text: str) -> Signed | model.BundleError:
    """Split a text into its unsigned part and its signatures, if any."""
    lines = text.splitlines(keepends=True)
    end = len(lines)
    while end and lines[end - 1].startswith(model.SIGNATURE_PREFIX):
        end -= 1
    if len(lines) - end > MAX_SIGNATURES:
        return model.BundleError("signature", f"more than {MAX_SIGNATURES} signatures")
    signatures = []
    for number, line in enumerate(lines[end:], start=end + 1):
        signature = parse_signature(line)
        if signature is None:
            return model.BundleError(f"line {number}", "malformed signature")
        signatures.append(signature)
    unsigned = "".join(lines[:end])
    return Signed(unsigned, get_digest(unsigned), tuple(signatures))


def parse_signature(line: str) -> Signature | None:
    """Parse one signature line; return None if it is malformed."""
    words = line.removeprefix(model.SIGNATURE_PREFIX).split()
    if len(words) != 2:
        return None
    try:
        key, value = (base64.b64decode(word, validate=True) for word in words)
    except (binascii.Error, ValueError):
        return None
    if len(key) != KEY_BYTES or len(value) != SIGNATURE_BYTES:
        return None
    return Signature(key, value)


def sign_bundle(text: str, private_key: bytes) -> str | model.BundleError:
    """Add a signature to a text; one by the same key is replaced."""
    signed = parse_signed(text)
    if isinstance(signed, model.BundleError):
        return signed
    unsigned = signed.unsigned
    if not unsigned.endswith("\n"):
        unsigned += "\n"
    key = ed25519.Ed25519PrivateKey.from_private_bytes(private_key)
    public = key.public_key().public_bytes_raw()
    value = key.sign(CONTEXT + get_digest(unsigned).encode())
    others = [s for s in signed.signatures if s.key != public]
    lines = [format_signature(s) for s in [*others, Signature(public, value)]]
    return unsigned + "".join(lines)


def format_signature(signature: Signature) -> str:
    """Return a signature as its line of text."""
    key = base64.b64encode(signature.key).decode()
    value = base64.b64encode(signature.value).decode()
    return f"{model.SIGNATURE_PREFIX}{key} {value}\n"


def verify_signatures(
    signed: Signed, keys: collections.abc.Sequence[bytes], needed: int
) -> bool:
    """Return whether at least `needed` different keys of `keys` signed the text."""
    allowed_keys = set(keys)
    message = CONTEXT + signed.digest.encode()
    valid = {
        signature.key
        for signature in signed.signatures
        if signature.key in allowed_keys and is_valid(signature, message)
    }
    return len(valid) >= needed


def is_valid(signature: Signature, message: bytes) -> bool:
    """Return whether a signature is valid for its key and the message."""
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(signature.key)
        key.verify(signature.value, message)
    except (exceptions.InvalidSignature, ValueError):
        return False
    return True


def generate_key() -> tuple[bytes, bytes]:
    """Return a new private key and its public key, 32 raw bytes each."""
    key = ed25519.Ed25519PrivateKey.generate()
    return key.private_bytes_raw(), key.public_key().public_bytes_raw()
