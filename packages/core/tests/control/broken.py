"""Variants that break one rule each; the histories must catch every one."""

from __future__ import annotations

import typing

from control import cluster
from knapweedbeam_core.control import proposing, spreading
from knapweedbeam_core.entry import parts
from knapweedbeam_core.log import wal


class EarlyWriteAheadLog(wal.WriteAheadLog):
    """Counts records as synced before they are."""

    def persist(self, persist: parts.Persist) -> parts.Effects:
        return [persist, *self.complete_batches(persist.batch)]


class LooseSpread(spreading.Spread):
    """Puts any bundle in force that arrives."""

    def adopt(self, version: int, digest: str, text: str) -> bool:
        if self.current and self.current.version > version:
            self.current = None
        return super().adopt(version, digest, text)

    def on_notice(self, sender: str, notice: typing.Any) -> parts.Effects:
        if 0 < notice.version < self.version:
            return self.hear_lower(sender, notice.version)
        return super().on_notice(sender, notice)

    def hear_lower(self, sender: str, version: int) -> parts.Effects:
        message = spreading.messages.BundleFetch(version, "")
        return [spreading.effects.Send(sender, message)]


class HastyProposer(proposing.Proposer):
    """Says that nothing changed while attempts are unanswered."""

    def expire(self) -> None:
        for call in self.calls.values():
            call.unanswered.clear()
        super().expire()


class SameIdentityCluster(cluster.Cluster):
    """A wiped replica comes back as its old self."""

    def make_disk(self) -> cluster.Disk:
        return cluster.Disk("folder")


def build_variant(target: object, name: str, replacement: object) -> typing.Any:
    """Return a cluster whose nodes run with one name replaced."""

    class BrokenCluster(cluster.Cluster):
        def start(self, node: str, is_replica: bool | None = None) -> None:
            kept = getattr(target, name)
            setattr(target, name, replacement)
            super().start(node, is_replica)
            setattr(target, name, kept)

    return BrokenCluster


EARLY_SYNC = build_variant(wal, "WriteAheadLog", EarlyWriteAheadLog)
LOWER_VERSION = build_variant(spreading, "Spread", LooseSpread)
HASTY_ANSWER = build_variant(proposing, "Proposer", HastyProposer)
