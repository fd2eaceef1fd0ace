"""Which processes register which own keys, in one epoch."""

from __future__ import annotations

import collections.abc
import dataclasses
import hmac

import msgspec
import xxhash

from knapweedbeam_core.entry import parts
from knapweedbeam_core.membership import rendezvous

RANGES = 32
DIGEST_BYTES = 16
PURPOSE = b"knapweedbeam own key 1"


@dataclasses.dataclass(frozen=True, slots=True)
class Roster:
    """The entry VMs of each failure domain that may register keys."""

    epoch: int
    domains: dict[str, tuple[str, ...]]

    def get_home(self, digest: bytes) -> str:
        """Return the failure domain in which a key is registered."""
        return rank(digest.hex(), self.domains)[0]

    def get_pair(self, domain: str, index: int) -> tuple[str, ...]:
        """Return the registrars of a range of keys, the deciding one first."""
        return tuple(rank(f"{domain}/{index}", self.domains.get(domain, ()))[:2])

    def get_names(self) -> frozenset[str]:
        """Return every entry VM of the roster."""
        return frozenset(name for names in self.domains.values() for name in names)


def rank(key: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Return names by rendezvous hashing, the greatest weight first."""
    weights = {name: rendezvous.get_weight(key, name) for name in names}
    return sorted(weights, key=lambda name: (weights[name], name), reverse=True)


def build_roster(me: str, domain: str, peers: tuple[parts.Peer, ...]) -> Roster:
    """Return the roster that the settings name, as epoch 1."""
    domains: dict[str, set[str]] = {domain: {me}}
    for peer in peers:
        domains.setdefault(peer.domain, set()).add(peer.name)
    return Roster(1, {name: tuple(sorted(vms)) for name, vms in domains.items()})


def get_key_digest(secret: bytes, member: str, key: str) -> bytes:
    """Return the digest that stands for a member's own key."""
    bound = msgspec.msgpack.encode((PURPOSE, member, key))
    return hmac.digest(secret, bound, "sha256")[:DIGEST_BYTES]


def get_range(digest: bytes) -> int:
    """Return the range that a key's digest falls into."""
    return xxhash.xxh3_64_intdigest(digest) % RANGES
