"""Which entry VM keeps an endpoint: rendezvous hashing over live ones."""

from __future__ import annotations

import collections.abc

import xxhash


def get_weight(endpoint: str, name: str) -> int:
    """Return the weight of a process for an endpoint."""
    return xxhash.xxh3_64_intdigest(f"{endpoint}\0{name}".encode())


def choose(endpoint: str, names: collections.abc.Iterable[str]) -> str:
    """Return the name with the greatest weight, empty when there is none."""
    best = ""
    best_weight = -1
    for name in names:
        weight = get_weight(endpoint, name)
        if weight > best_weight or (weight == best_weight and name > best):
            best = name
            best_weight = weight
    return best
