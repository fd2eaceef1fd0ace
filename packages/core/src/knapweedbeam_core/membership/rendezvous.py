"""Rendezvous hashing: selects the process that is responsible for a key."""

from __future__ import annotations

import collections.abc

import xxhash


def get_weight(key: str, name: str) -> int:
    """Return the weight of a process for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def choose(key: str, names: collections.abc.Iterable[str]) -> str:
    """Return the name with the greatest weight, or "" if there are no names."""
    best = ""
    best_weight = -1
    for name in names:
        weight = get_weight(key, name)
        if weight > best_weight or (weight == best_weight and name > best):
            best = name
            best_weight = weight
    return best
