"""Faulty variants that break one rule each; the histories must detect every one."""

from __future__ import annotations

import typing

from control import cluster
from knapweedbeam_core.control import distribution, proposer
from knapweedbeam_core.entry import parts
from knapweedbeam_core.log import wal


class EarlyWriteAheadLog(wal.WriteAheadLog):
    """Reports records as synced before they are."""

    def persist(self, persist: parts.Persist) -> parts.Effects:
        return [persist, *self.complete_batches(persist.batch)]


class DowngradingDistributor(distribution.BundleDistributor):
    """Puts every received bundle in force, also older ones."""

    def put_in_force(self, version: int, digest: str, text: str) -> bool:
        if self.current and self.current.version > version:
            self.current = None
        return super().put_in_force(version, digest, text)

    def on_notice(self, sender: str, notice: typing.Any) -> parts.Effects:
        if 0 < notice.version < self.version:
            return self.fetch_older(sender, notice.version)
        return super().on_notice(sender, notice)

    def fetch_older(self, sender: str, version: int) -> parts.Effects:
        message = distribution.messages.BundleFetch(version, "")
        return [distribution.effects.Send(sender, message)]


class EarlyRefusalProposer(proposer.Proposer):
    """Reports that nothing changed while attempts are unanswered."""

    def expire(self) -> None:
        for call in self.calls.values():
            call.unanswered.clear()
        super().expire()


class SameIdentityCluster(cluster.Cluster):
    """A cluster whose wiped replicas come back under their old identity."""

    def make_disk(self) -> cluster.Disk:
        return cluster.Disk("folder")


def build_variant(target: object, name: str, replacement: object) -> typing.Any:
    """Return a cluster class whose nodes are built with one class replaced."""

    class FaultyCluster(cluster.Cluster):
        def start(self, node: str, is_replica: bool | None = None) -> None:
            original = getattr(target, name)
            setattr(target, name, replacement)
            super().start(node, is_replica)
            setattr(target, name, original)

    return FaultyCluster


EARLY_SYNC = build_variant(wal, "WriteAheadLog", EarlyWriteAheadLog)
LOWER_VERSION = build_variant(distribution, "BundleDistributor", DowngradingDistributor)
EARLY_REFUSAL = build_variant(proposer, "Proposer", EarlyRefusalProposer)
