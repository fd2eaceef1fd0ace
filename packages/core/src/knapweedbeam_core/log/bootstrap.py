"""Discovery of replicas outside the log's members, and bootstrap of a new log."""

from __future__ import annotations

import collections.abc

from knapweedbeam_core import clock, effects
from knapweedbeam_core.log import members, membership_changes, messages

HELLO_MS = 1_000
FIRST_HELLO_MS = 250


class Bootstrap:
    """Exchanges the hello messages of replicas.

    `initial_names` are the control VMs that bootstrap the log together; `contacts` are
    those that hellos are sent to.
    """

    def __init__(
        self, me: members.ReplicaId, initial_names: tuple[str, ...], timer: clock.Clock
    ) -> None:
        self.me = me
        self.initial_names = initial_names
        self.contacts = frozenset(initial_names)
        self.clock = timer
        self.hellos: dict[str, tuple[messages.ReplicaHello, int]] = {}
        self.due_ms = timer.now_ms()

    def record_hello(
        self,
        hello: messages.ReplicaHello,
        targets: collections.abc.Container[str],
    ) -> None:
        """Record a replica that is not a member."""
        name = hello.sender.name
        if name in self.initial_names or name in targets:
            self.hellos[name] = (hello, self.clock.now_ms())

    def get_applicants(self) -> list[membership_changes.Applicant]:
        """Return the replicas that ask to become members."""
        return [
            membership_changes.Applicant(hello.sender, received_ms)
            for hello, received_ms in self.hellos.values()
        ]

    def build_hellos(self, is_founded: bool) -> list[effects.Send]:
        """Return hellos to the known control VMs if they are due."""
        now_ms = self.clock.now_ms()
        if now_ms < self.due_ms:
            return []
        self.due_ms = now_ms + (HELLO_MS if is_founded else FIRST_HELLO_MS)
        hello = messages.ReplicaHello(self.me, is_founded)
        others = sorted(self.contacts - {self.me.name})
        return [effects.Send(name, hello) for name in others]

    def find_initial_members(self) -> members.Members | None:
        """Return the initial members once all are present and have no log yet."""
        if self.me.name not in self.initial_names:
            return None
        oldest_ms = self.clock.now_ms() - membership_changes.HELLO_VALID_MS
        recent = {n: hello for n, (hello, at) in self.hellos.items() if at >= oldest_ms}
        recent[self.me.name] = messages.ReplicaHello(self.me, False)
        initial_hellos = [recent.get(name) for name in sorted(self.initial_names)]
        if any(hello is None or hello.founded for hello in initial_hellos):
            return None
        return members.Members(tuple(h.sender for h in initial_hellos if h is not None))
