"""What is known of the ranges of own keys that were ever opened.

A range may be opened empty only once. Its opener has most of the roster note it
first. A process that starts knows of no opening: it is in sync once so many
synced processes have told it their notes that one of them must know of any. When
nobody is in sync at one and the same moment, the roster starts for the first
time, or all of it has lost its memory at once.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import effects, ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import key_messages, roster


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What another process said of itself in one round."""

    process: ids.ProcessId
    turn: int
    synced: bool
    concluded: bool


class Opening:
    """The notes of this process, and how it gets those of the others."""

    def __init__(self, me: ids.ProcessId, names: frozenset[str]) -> None:
        self.me = me
        self.others = sorted(names - {me.name})
        self.notes: dict[str, set[int]] = {}
        self.turn = 0
        self.told: dict[str, Told] = {}
        self.unsynced: dict[str, Told] = {}
        self.synced = not self.others
        self.concluded = False

    def get_quorum(self) -> int:
        """Return how many processes must know of an opening, the opener too."""
        return (len(self.others) + 1) // 2 + 1

    def is_noted(self, domain: str, index: int) -> bool:
        """Say whether a range is known to have been opened."""
        return index in self.notes.get(domain, ())

    def add(self, domain: str, indexes: tuple[int, ...]) -> None:
        """Note that ranges have been opened."""
        known = self.notes.setdefault(domain, set())
        known.update(index for index in indexes if 0 <= index < roster.RANGES)

    def ask(self) -> parts.Effects:
        """Start another round of asking everybody, until in sync."""
        if self.synced:
            return []
        self.turn += 1
        asked = key_messages.AskNotes(self.turn)
        return [effects.Send(name, asked) for name in self.others]

    def on_ask(
        self, sender: ids.ProcessId, message: key_messages.AskNotes
    ) -> parts.Effects:
        """Tell another process all notes."""
        notes = tuple(
            key_messages.OpenedRanges(domain, tuple(sorted(indexes)))
            for domain, indexes in self.notes.items()
        )
        told = key_messages.NotesTold(
            sender.incarnation, message.turn, self.synced, notes, self.concluded
        )
        return [effects.Send(sender.name, told)]

    def on_told(
        self, sender: ids.ProcessId, message: key_messages.NotesTold
    ) -> parts.Effects:
        """Take over the notes of another process."""
        if message.asker != self.me.incarnation or sender.name not in self.others:
            return []
        for noted in message.notes:
            self.add(noted.domain, noted.ranges)
        told = Told(sender, message.turn, message.synced, message.concluded)
        last = self.told.get(sender.name)
        if last is None or last.turn <= told.turn:
            self.told[sender.name] = told
        self.concluded = self.concluded or self.is_first_start()
        self.synced = self.synced or self.knows_all() or self.may_start()
        return []

    def knows_all(self) -> bool:
        """Say whether one of those who told must know of any opening."""
        total = len(self.others) + 1
        synced = sum(told.synced for told in self.told.values())
        return synced > total - self.get_quorum()

    def may_start(self) -> bool:
        """Say whether the conclusion that this is a first start may be acted on.

        Nobody does before all have concluded the same: whoever saw one in sync
        too early could never conclude it. Once somebody is in sync, it is enough
        that those who are not heard of, or run anew, are no quorum alone.
        """
        if not self.concluded:
            return False
        if all(told.synced or told.concluded for told in self.told.values()):
            return True
        if not any(told.synced for told in self.told.values()):
            return False
        runs = {name: told.process for name, told in self.unsynced.items()}
        missing = [
            name
            for name, told in self.told.items()
            if not told.synced and told.process != runs.get(name)
        ]
        return len(missing) < self.get_quorum()

    def is_first_start(self) -> bool:
        """Say whether all were out of sync at one moment.

        That is so when a round got such an answer from every one, and a round
        asked after that got it from the same runs again.
        """
        if len(self.told) < len(self.others):
            return False
        if any(told.synced for told in self.told.values()):
            self.unsynced = {}
            return False
        if not self.unsynced:
            self.unsynced = dict(self.told)
            self.turn += 1
            return False
        asked_after = max(told.turn for told in self.unsynced.values())
        for name, first in self.unsynced.items():
            again = self.told[name]
            if again.process != first.process:
                self.unsynced = {}
                return False
            if again.turn <= asked_after:
                return False
        return True

    def on_note(
        self, sender: ids.ProcessId, message: key_messages.NoteOpened
    ) -> parts.Effects:
        """Note an opening; only a process in sync may count for the quorum."""
        self.add(message.domain, message.ranges)
        if not self.synced:
            return []
        noted = key_messages.OpenedNoted(sender.incarnation, message.ranges)
        return [effects.Send(sender.name, noted)]

    def send_notes(self, domain: str, indexes: tuple[int, ...]) -> parts.Effects:
        """Have all others note that this process opens ranges."""
        if not indexes:
            return []
        note = key_messages.NoteOpened(domain, indexes)
        return [effects.Send(name, note) for name in self.others]
