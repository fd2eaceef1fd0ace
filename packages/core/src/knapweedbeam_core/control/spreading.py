"""How accepted bundles reach every entry VM, and never go back."""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core import clock, effects, ids
from knapweedbeam_core.bundles import model, signing
from knapweedbeam_core.control import delta, messages
from knapweedbeam_core.entry import parts

ASK_MS = 5_000
TEXTS_KEPT = 3
FETCH_RETRY_MS = 300
LEADER_LOST_MS = 12_000
START_ASK_MS = 300
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
class Fetching:
    """A newer bundle that this node heard of and lacks."""

    version: int
    source: str
    next_ms: int


@dataclasses.dataclass(slots=True)
class Leader:
    """The newest leader that this node heard of."""

    term: int = 0
    name: str = ""


class Spread:
    """What is in force here, and how it is learned and passed on."""

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
        self.texts: dict[str, str] = {}
        self.leader = Leader()
        self.settled = 0
        self.revision = 0
        self.fetching: Fetching | None = None
        self.unanswered = dict.fromkeys([*self.neighbours, *self.replicas])
        now_ms = timer.now_ms()
        self.start_asks_ms = now_ms
        self.start_over_ms = now_ms + START_WAIT_MS
        self.fetch_over_ms = now_ms + START_FETCH_WAIT_MS
        self.ask_ms = now_ms + ASK_MS
        self.leader_heard_ms = now_ms

    @property
    def version(self) -> int:
        """Return the version in force here, 0 for none."""
        return self.current.version if self.current else 0

    @property
    def digest(self) -> str:
        """Return the digest in force here."""
        return self.current.digest if self.current else ""

    def is_ready(self) -> bool:
        """Say whether this node asked whom it can reach and holds the newest."""
        now_ms = self.clock.now_ms()
        is_asked = not self.unanswered or now_ms >= self.start_over_ms
        is_fetched = self.fetching is None or now_ms >= self.fetch_over_ms
        return self.current is not None and is_asked and is_fetched

    def tick(self) -> parts.Effects:
        """Ask again where it is due."""
        now_ms = self.clock.now_ms()
        sent: parts.Effects = []
        if self.unanswered and now_ms >= self.start_asks_ms:
            self.start_asks_ms = now_ms + START_ASK_MS
            sent += self.ask(self.unanswered)
            if now_ms >= self.start_over_ms:
                self.unanswered.clear()
        if self.fetching and now_ms >= self.fetching.next_ms:
            sent += self.fetch_again(self.fetching, now_ms)
        if now_ms >= self.ask_ms:
            self.ask_ms = now_ms + ASK_MS
            sent += self.ask(self.choose_asked())
        return sent

    def ask(self, names: collections.abc.Iterable[str]) -> parts.Effects:
        """Ask processes for what they have in force."""
        message = messages.BundleAsk(self.version, self.revision)
        return [effects.Send(name, message) for name in names if name != self.me.name]

    def choose_asked(self) -> list[str]:
        """Return whom to ask now: the leader, or everyone known when it is silent."""
        if self.leader.name == self.me.name:
            return []
        if self.has_leader():
            return [self.leader.name]
        return list(dict.fromkeys([*self.replicas, *self.neighbours]))

    def has_leader(self) -> bool:
        """Say whether a leader is known and was heard of lately."""
        if self.leader.name == self.me.name:
            return True
        silent_ms = self.clock.now_ms() - self.leader_heard_ms
        return bool(self.leader.name) and silent_ms <= LEADER_LOST_MS

    def fetch_again(self, fetching: Fetching, now_ms: int) -> parts.Effects:
        """Ask for a lacking text anew, and ask others for it."""
        fetching.next_ms = now_ms + FETCH_RETRY_MS
        fetch = messages.BundleFetch(fetching.version, "")
        sent: parts.Effects = [effects.Send(fetching.source, fetch)]
        return sent + self.ask(self.choose_asked())

    def build_notice(self) -> messages.BundleNotice:
        """Return what is in force here."""
        return messages.BundleNotice(
            self.version, self.digest, self.leader.term, self.leader.name, self.settled
        )

    def on_ask(self, sender: str, ask: messages.BundleAsk) -> parts.Effects:
        """Answer what is in force here; fetch what is newer there."""
        sent: parts.Effects = [effects.Send(sender, self.build_notice())]
        return sent + self.hear(sender, ask.version)

    def on_notice(self, sender: str, notice: messages.BundleNotice) -> parts.Effects:
        """Learn of a bundle and a leader; tell a sender that is behind."""
        self.unanswered.pop(sender, None)
        sent = self.follow(notice.term, notice.leader)
        if sender == self.leader.name:
            self.leader_heard_ms = self.clock.now_ms()
        self.settled = max(self.settled, min(notice.settled, notice.version))
        if notice.version < self.version:
            return [*sent, effects.Send(sender, self.build_notice())]
        return sent + self.hear(sender, notice.version)

    def follow(self, term: int, name: str) -> parts.Effects:
        """Note a leader; tell a new one what is in force here."""
        if not name or term < self.leader.term:
            return []
        is_new = (term, name) != (self.leader.term, self.leader.name)
        self.leader = Leader(term, name)
        if not is_new:
            return []
        self.leader_heard_ms = self.clock.now_ms()
        return self.ask([name])

    def hear(self, sender: str, version: int) -> parts.Effects:
        """Fetch a version that is newer than any known here."""
        wanted = self.fetching.version if self.fetching else self.version
        if version <= max(wanted, self.version):
            return []
        next_ms = self.clock.now_ms() + FETCH_RETRY_MS
        self.fetching = Fetching(version, sender, next_ms)
        return [effects.Send(sender, messages.BundleFetch(version, self.digest))]

    def on_fetch(self, sender: str, fetch: messages.BundleFetch) -> parts.Effects:
        """Send the text in force, if it is new enough."""
        current = self.current
        if current is None or current.version < fetch.version:
            return []
        base = fetch.base if fetch.base in self.texts else ""
        data = delta.deflate(current.text, self.texts.get(base, ""))
        text = messages.BundleText(current.version, current.digest, base, data)
        return [effects.Send(sender, text)]

    def on_text(self, sender: str, text: messages.BundleText) -> parts.Effects:
        """Put a fetched bundle in force, and pass it on where it came from afar."""
        if text.base and text.base not in self.texts:
            return []
        whole = delta.inflate(text.data, self.texts.get(text.base, ""))
        signed = signing.parse_signed(whole or "")
        if whole is None or isinstance(signed, model.BundleError):
            return []
        if signed.digest != text.digest:
            return []
        if not self.adopt(text.version, text.digest, whole):
            return []
        return self.tell(sender, sender not in self.neighbours)

    def adopt(self, version: int, digest: str, text: str) -> bool:
        """Put a bundle in force if it is newer; say whether it is."""
        if version <= self.version:
            return False
        bundle = model.parse_bundle(text)
        if isinstance(bundle, tuple):
            return False
        self.current = InForce(version, digest, text, bundle)
        self.texts[digest] = text
        if len(self.texts) > TEXTS_KEPT:
            del self.texts[next(iter(self.texts))]
        if self.fetching and self.fetching.version <= version:
            self.fetching = None
        return True

    def tell(self, source: str, is_relayed: bool) -> parts.Effects:
        """Acknowledge a new bundle to the leader; tell the neighbours of it."""
        sent: parts.Effects = []
        if is_relayed:
            sent += self.notify([n for n in self.neighbours if n != source])
        acknowledged = self.leader.name or source
        return sent + self.ask([acknowledged] if acknowledged else [])

    def notify(self, names: collections.abc.Iterable[str]) -> parts.Effects:
        """Tell processes what is in force here."""
        notice = self.build_notice()
        return [effects.Send(name, notice) for name in names]
