"""How replicas outside a group make themselves known, and start a first one."""

from __future__ import annotations

import collections.abc

from knapweedbeam_core import clock, effects
from knapweedbeam_core.log import members, membership_changes, messages

HELLO_MS = 1_000
FIRST_HELLO_MS = 250


class Bootstrap:
    """The hellos of replicas, this one's included."""

    def __init__(
        self, me: members.ReplicaId, founders: tuple[str, ...], timer: clock.Clock
    ) -> None:
        self.me = me
        self.founders = founders
        self.contacts = frozenset(founders)
        self.clock = timer
        self.hellos: dict[str, tuple[messages.ReplicaHello, int]] = {}
        self.due_ms = timer.now_ms()

    def note(
        self,
        hello: messages.ReplicaHello,
        targets: collections.abc.Container[str],
    ) -> None:
        """Note a replica that is outside the group."""
        name = hello.sender.name
        if name in self.founders or name in targets:
            self.hellos[name] = (hello, self.clock.now_ms())

    def get_applicants(self) -> list[membership_changes.Applicant]:
        """Return who asked to be taken in."""
        return [
            membership_changes.Applicant(hello.sender, heard_ms)
            for hello, heard_ms in self.hellos.values()
        ]

    def say_hello(self, is_founded: bool) -> list[effects.Send]:
        """Tell the control VMs that are known that this replica is there."""
        now_ms = self.clock.now_ms()
        if now_ms < self.due_ms:
            return []
        self.due_ms = now_ms + (HELLO_MS if is_founded else FIRST_HELLO_MS)
        hello = messages.ReplicaHello(self.me, is_founded)
        others = sorted(self.contacts - {self.me.name})
        return [effects.Send(name, hello) for name in others]

    def find_group(self) -> members.Members | None:
        """Return the first group, once all of its replicas are there and empty."""
        if self.me.name not in self.founders:
            return None
        oldest_ms = self.clock.now_ms() - membership_changes.HELLO_FRESH_MS
        known = {n: hello for n, (hello, at) in self.hellos.items() if at >= oldest_ms}
        known[self.me.name] = messages.ReplicaHello(self.me, False)
        first = [known.get(name) for name in sorted(self.founders)]
        if any(hello is None or hello.founded for hello in first):
            return None
        return members.Members(tuple(h.sender for h in first if h is not None))
