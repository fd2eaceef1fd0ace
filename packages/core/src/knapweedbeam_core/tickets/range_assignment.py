"""The assignment of ranges of own keys to registrars in one epoch."""

from __future__ import annotations

import collections.abc
import dataclasses
import hmac

import msgspec
import xxhash

from knapweedbeam_core.entry import parts
from knapweedbeam_core.membership import rendezvous

RANGE_COUNT = 32
DIGEST_BYTES = 16
PURPOSE = b"knapweedbeam own key 1"


@dataclasses.dataclass(frozen=True, slots=True)
class RangeAssignment:
    """The entry VMs of each failure domain that may be registrars in an epoch."""

    epoch: int
    domains: dict[str, tuple[str, ...]]

    def get_home_domain(self, digest: bytes) -> str:
        """Return the failure domain in which a key is registered."""
        return rank(digest.hex(), self.domains)[0]

    def get_registrars(self, domain: str, index: int) -> tuple[str, ...]:
        """Return the registrars of a range, the first one being the deciding one."""
        return tuple(rank(f"{domain}/{index}", self.domains.get(domain, ()))[:2])

    def get_vm_names(self) -> frozenset[str]:
        """Return the names of all assigned entry VMs."""
        return frozenset(name for names in self.domains.values() for name in names)


def rank(key: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Return names ordered by rendezvous hashing, the greatest weight first."""
    weights = {name: rendezvous.get_weight(key, name) for name in names}
    return sorted(weights, key=lambda name: (weights[name], name), reverse=True)


def build_initial_assignment(
    me: str, domain: str, peers: tuple[parts.Peer, ...]
) -> RangeAssignment:
    """Return the assignment that follows from the settings, as epoch 1."""
    domains: dict[str, set[str]] = {domain: {me}}
    for peer in peers:
        domains.setdefault(peer.domain, set()).add(peer.name)
    return RangeAssignment(
        1, {name: tuple(sorted(vms)) for name, vms in domains.items()}
    )


def get_key_digest(secret: bytes, member: str, key: str) -> bytes:
    """Return the keyed digest of a member's own key."""
    bound = msgspec.msgpack.encode((PURPOSE, member, key))
    return hmac.digest(secret, bound, "sha256")[:DIGEST_BYTES]


def get_range(digest: bytes) -> int:
    """Return the index of the range that contains a key's digest."""
    return xxhash.xxh3_64_intdigest(digest) % RANGE_COUNT
