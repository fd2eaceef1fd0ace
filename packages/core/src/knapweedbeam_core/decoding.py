"""The errors that decoders of JSON, MessagePack and YAML raise for malformed bytes."""

from __future__ import annotations

import msgspec

# A body that is nested too deeply raises an error of Python's own, in fields that the
# model ignores too.
ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
