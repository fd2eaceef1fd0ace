"""Compression of a bundle's text against a text that the receiver already has."""

from __future__ import annotations

import zlib

from knapweedbeam_core.bundles import model

RAW_DEFLATE_BITS = -15
MAX_TEXT_BYTES = 2 * model.MAX_BUNDLE_BYTES


def deflate(text: str, base: str) -> bytes:
    """Return `text` compressed with `base` as dictionary, which may be empty."""
    packer = zlib.compressobj(
        level=zlib.Z_BEST_COMPRESSION, wbits=RAW_DEFLATE_BITS, zdict=base.encode()
    )
    return packer.compress(text.encode()) + packer.flush()


def inflate(data: bytes, base: str) -> str | None:
    """Return the decompressed text, or None if it is malformed or too large."""
    unpacker = zlib.decompressobj(wbits=RAW_DEFLATE_BITS, zdict=base.encode())
    try:
        text = unpacker.decompress(data, MAX_TEXT_BYTES)
        return text.decode() if unpacker.eof else None
    except (zlib.error, UnicodeDecodeError):
        return None
