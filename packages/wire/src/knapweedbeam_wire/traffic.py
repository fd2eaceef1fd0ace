"""Counters of the traffic on links."""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class Traffic:
    """Messages by class name, frames and bytes of one direction."""

    messages: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    frames: int = 0
    frame_bytes: int = 0
    dropped: int = 0
