"""Distribution of accepted bundles to every entry VM, always to newer versions."""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core import clock, effects, ids
from knapweedbeam_core.bundles import model, signing
from knapweedbeam_core.control import delta, messages
from knapweedbeam_core.entry import parts

REQUEST_INTERVAL_MS = 5_000
MAX_TEXTS = 3
FETCH_RETRY_MS = 300
LEADER_TIMEOUT_MS = 12_000
START_REQUEST_INTERVAL_MS = 300
START_WAIT_MS = 1_500
START_FETCH_WAIT_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """The bundle in force at this node."""

    version: int
    digest: str
    text: str
    bundle: model.Bundle


@dataclasses.dataclass(slots=True)
class Fetch:
    """The fetch of a newer bundle from `source`, repeated at `next_ms`."""

    version: int
    source: str
    next_ms: int


@dataclasses.dataclass(slots=True)
class Leader:
    """The leader of the newest term known to this node."""

    term: int = 0
    name: str = ""


class BundleDistributor:
    """Holds the bundle in force here, fetches newer ones and notifies other nodes."""

    def __init__(
        self,
        me: ids.ProcessId,
        domain: str,
        peers: tuple[parts.Peer, ...],
        timer: clock.Clock,
    ) -> None:
        self.me = me
        self.clock = timer
        self.neighbours = [p.name for p in peers if p.domain == domain]
        self.replicas = [p.name for p in peers if p.control]
        self.current: InForce | None = None
        self.texts_by_digest: dict[str, str] = {}
        self.leader = Leader()
        self.settled_version = 0
        self.revision = 0
        self.pending_fetch: Fetch | None = None
        self.unanswered_peers = dict.fromkeys([*self.neighbours, *self.replicas])
        now_ms = timer.now_ms()
        self.next_start_request_ms = now_ms
        self.start_deadline_ms = now_ms + START_WAIT_MS
        self.start_fetch_deadline_ms = now_ms + START_FETCH_WAIT_MS
        self.next_request_ms = now_ms + REQUEST_INTERVAL_MS
        self.leader_contact_ms = now_ms

    @property
    def version(self) -> int:
        """Return the version in force here, 0 if there is none."""
        return self.current.version if self.current else 0

    @property
    def digest(self) -> str:
        """Return the digest of the bundle in force here, empty if there is none."""
        return self.current.digest if self.current else ""

    def is_ready(self) -> bool:
        """Return whether a bundle is in force here and the checks at start are over.

        They end when every peer has replied and the newest bundle is fetched, at the
        latest `START_WAIT_MS` and `START_FETCH_WAIT_MS` after the start.
        """
        now_ms = self.clock.now_ms()
        has_replies = not self.unanswered_peers or now_ms >= self.start_deadline_ms
        has_newest = (
            self.pending_fetch is None or now_ms >= self.start_fetch_deadline_ms
        )
        return self.current is not None and has_replies and has_newest

    def tick(self) -> parts.Effects:
        """Send the requests and fetches that are due."""
        now_ms = self.clock.now_ms()
        sent: parts.Effects = []
        if self.unanswered_peers and now_ms >= self.next_start_request_ms:
            self.next_start_request_ms = now_ms + START_REQUEST_INTERVAL_MS
            sent += self.request_notices(self.unanswered_peers)
            if now_ms >= self.start_deadline_ms:
                self.unanswered_peers.clear()
        if self.pending_fetch and now_ms >= self.pending_fetch.next_ms:
            sent += self.repeat_fetch(self.pending_fetch, now_ms)
        if now_ms >= self.next_request_ms:
            self.next_request_ms = now_ms + REQUEST_INTERVAL_MS
            sent += self.request_notices(self.select_recipients())
        return sent

    def request_notices(self, names: collections.abc.Iterable[str]) -> parts.Effects:
        """Request a `BundleNotice`, which also reports the version in force here."""
        message = messages.BundleAsk(self.version, self.revision)
        return [effects.Send(name, message) for name in names if name != self.me.name]

    def select_recipients(self) -> list[str]:
        """Return the leader, or all replicas and neighbours if it is unresponsive."""
        if self.leader.name == self.me.name:
            return []
        if self.has_leader():
            return [self.leader.name]
        return list(dict.fromkeys([*self.replicas, *self.neighbours]))

    def has_leader(self) -> bool:
        """Return whether a leader is known and its last contact is recent."""
        if self.leader.name == self.me.name:
            return True
        since_contact_ms = self.clock.now_ms() - self.leader_contact_ms
        return bool(self.leader.name) and since_contact_ms <= LEADER_TIMEOUT_MS

    def repeat_fetch(self, pending_fetch: Fetch, now_ms: int) -> parts.Effects:
        """Fetch again without a base text, and look for other nodes with the bundle."""
        pending_fetch.next_ms = now_ms + FETCH_RETRY_MS
        fetch = messages.BundleFetch(pending_fetch.version, "")
        sent: parts.Effects = [effects.Send(pending_fetch.source, fetch)]
        return sent + self.request_notices(self.select_recipients())

    def build_notice(self) -> messages.BundleNotice:
        """Return the notice of the bundle in force here."""
        return messages.BundleNotice(
            self.version,
            self.digest,
            self.leader.term,
            self.leader.name,
            self.settled_version,
        )

    def on_bundle_ask(self, sender: str, request: messages.BundleAsk) -> parts.Effects:
        """Reply with what is in force here, and fetch a newer version of the sender."""
        sent: parts.Effects = [effects.Send(sender, self.build_notice())]
        return sent + self.fetch_if_newer(sender, request.version)

    def on_notice(self, sender: str, notice: messages.BundleNotice) -> parts.Effects:
        """Handle the versions and leader of another node; notify it if it is behind."""
        self.unanswered_peers.pop(sender, None)
        sent = self.set_leader(notice.term, notice.leader)
        if sender == self.leader.name:
            self.leader_contact_ms = self.clock.now_ms()
        self.settled_version = max(
            self.settled_version, min(notice.settled, notice.version)
        )
        if notice.version < self.version:
            return [*sent, effects.Send(sender, self.build_notice())]
        return sent + self.fetch_if_newer(sender, notice.version)

    def set_leader(self, term: int, name: str) -> parts.Effects:
        """Record the leader of a term; report the version here to a new leader."""
        if not name or term < self.leader.term:
            return []
        is_new = (term, name) != (self.leader.term, self.leader.name)
        self.leader = Leader(term, name)
        if not is_new:
            return []
        self.leader_contact_ms = self.clock.now_ms()
        return self.request_notices([name])

    def fetch_if_newer(self, sender: str, version: int) -> parts.Effects:
        """Fetch a version that is newer than those in force or being fetched here."""
        fetched = self.pending_fetch.version if self.pending_fetch else self.version
        if version <= max(fetched, self.version):
            return []
        next_ms = self.clock.now_ms() + FETCH_RETRY_MS
        self.pending_fetch = Fetch(version, sender, next_ms)
        return [effects.Send(sender, messages.BundleFetch(version, self.digest))]

    def on_fetch(self, sender: str, fetch: messages.BundleFetch) -> parts.Effects:
        """Send the text of the bundle in force, if it is new enough."""
        current = self.current
        if current is None or current.version < fetch.version:
            return []
        base = fetch.base if fetch.base in self.texts_by_digest else ""
        data = delta.deflate(current.text, self.texts_by_digest.get(base, ""))
        text = messages.BundleText(current.version, current.digest, base, data)
        return [effects.Send(sender, text)]

    def on_text(self, sender: str, text: messages.BundleText) -> parts.Effects:
        """Put a fetched bundle in force; notify neighbours if it came from outside.

        Neighbours are the entry VMs of this failure domain.
        """
        if text.base and text.base not in self.texts_by_digest:
            return []
        full_text = delta.inflate(text.data, self.texts_by_digest.get(text.base, ""))
        signed = signing.parse_signed(full_text or "")
        if full_text is None or isinstance(signed, model.BundleError):
            return []
        if signed.digest != text.digest:
            return []
        if not self.put_in_force(text.version, text.digest, full_text):
            return []
        return self.acknowledge(sender, sender not in self.neighbours)

    def put_in_force(self, version: int, digest: str, text: str) -> bool:
        """Put a bundle in force if it is newer and valid; return whether it was."""
        if version <= self.version:
            return False
        bundle = model.parse_bundle(text)
        if isinstance(bundle, tuple):
            return False
        self.current = InForce(version, digest, text, bundle)
        self.texts_by_digest[digest] = text
        if len(self.texts_by_digest) > MAX_TEXTS:
            del self.texts_by_digest[next(iter(self.texts_by_digest))]
        if self.pending_fetch and self.pending_fetch.version <= version:
            self.pending_fetch = None
        return True

    def acknowledge(self, source: str, is_forwarded: bool) -> parts.Effects:
        """Acknowledge a new bundle to the leader; notify neighbours if forwarded."""
        sent: parts.Effects = []
        if is_forwarded:
            sent += self.notify([n for n in self.neighbours if n != source])
        recipient = self.leader.name or source
        return sent + self.request_notices([recipient] if recipient else [])

    def notify(self, names: collections.abc.Iterable[str]) -> parts.Effects:
        """Send processes the notice of the bundle in force here."""
        notice = self.build_notice()
        return [effects.Send(name, notice) for name in names]
