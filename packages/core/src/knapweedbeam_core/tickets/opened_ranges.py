"""Tracking of the ranges of own keys that were ever opened.

A range may be opened empty only once, and a quorum of the entry VMs must have noted
the opening first. A process starts without notes. It is in sync once it has the notes
of so many synced processes that at least one of them knows of any opening. If no
process is in sync at one point in time, either this is the first start or all
processes have lost their notes at once.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import effects, ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import key_messages, range_assignment


@dataclasses.dataclass(frozen=True, slots=True)
class NotesReply:
    """The state of another process in its reply to one round of requests."""

    process: ids.ProcessId
    turn: int
    synced: bool
    concluded: bool


class OpenedRangeTracker:
    """Notes which ranges were opened and fetches the notes of the other processes."""

    def __init__(self, me: ids.ProcessId, names: frozenset[str]) -> None:
        self.me = me
        self.others = sorted(names - {me.name})
        self.notes: dict[str, set[int]] = {}
        self.turn = 0
        self.replies: dict[str, NotesReply] = {}
        self.unsynced_replies: dict[str, NotesReply] = {}
        self.synced = not self.others
        self.concluded = False

    def get_quorum(self) -> int:
        """Return how many processes must note an opening, including the opener."""
        return (len(self.others) + 1) // 2 + 1

    def is_noted(self, domain: str, index: int) -> bool:
        """Return whether a range is noted as opened."""
        return index in self.notes.get(domain, ())

    def add(self, domain: str, indexes: tuple[int, ...]) -> None:
        """Note ranges as opened."""
        noted_indexes = self.notes.setdefault(domain, set())
        noted_indexes.update(
            index for index in indexes if 0 <= index < range_assignment.RANGE_COUNT
        )

    def request_notes(self) -> parts.Effects:
        """Request the notes of all others in a new round, unless in sync."""
        if self.synced:
            return []
        self.turn += 1
        request = key_messages.AskNotes(self.turn)
        return [effects.Send(name, request) for name in self.others]

    def on_ask_notes(
        self, sender: ids.ProcessId, message: key_messages.AskNotes
    ) -> parts.Effects:
        """Send all notes to another process."""
        notes = tuple(
            key_messages.OpenedRanges(domain, tuple(sorted(indexes)))
            for domain, indexes in self.notes.items()
        )
        reply = key_messages.NotesTold(
            sender.incarnation, message.turn, self.synced, notes, self.concluded
        )
        return [effects.Send(sender.name, reply)]

    def on_notes_told(
        self, sender: ids.ProcessId, message: key_messages.NotesTold
    ) -> parts.Effects:
        """Add the notes of another process and update the sync state."""
        if message.asker != self.me.incarnation or sender.name not in self.others:
            return []
        for noted in message.notes:
            self.add(noted.domain, noted.ranges)
        reply = NotesReply(sender, message.turn, message.synced, message.concluded)
        last = self.replies.get(sender.name)
        if last is None or last.turn <= reply.turn:
            self.replies[sender.name] = reply
        self.concluded = self.concluded or self.detect_first_start()
        self.synced = (
            self.synced or self.has_all_notes() or self.is_first_start_confirmed()
        )
        return []

    def has_all_notes(self) -> bool:
        """Return whether some synced process that replied must know of any opening."""
        total = len(self.others) + 1
        synced = sum(reply.synced for reply in self.replies.values())
        return synced > total - self.get_quorum()

    def is_first_start_confirmed(self) -> bool:
        """Return whether the conclusion of a first start may be acted on.

        All processes must have concluded the same first: a process that saw a synced
        one too early could never reach the conclusion. Once a process is in sync, it
        is enough that the others that are unsynced and not of the incarnations in
        `unsynced_replies` form no quorum on their own.
        """
        if not self.concluded:
            return False
        if all(reply.synced or reply.concluded for reply in self.replies.values()):
            return True
        if not any(reply.synced for reply in self.replies.values()):
            return False
        runs = {name: reply.process for name, reply in self.unsynced_replies.items()}
        missing = [
            name
            for name, reply in self.replies.items()
            if not reply.synced and reply.process != runs.get(name)
        ]
        return len(missing) < self.get_quorum()

    def detect_first_start(self) -> bool:
        """Return whether all processes were out of sync at one point in time.

        This holds if every process replied to a round that it was out of sync, and the
        same incarnations replied so again to a round requested after that.
        """
        if len(self.replies) < len(self.others):
            return False
        if any(reply.synced for reply in self.replies.values()):
            self.unsynced_replies = {}
            return False
        if not self.unsynced_replies:
            self.unsynced_replies = dict(self.replies)
            self.turn += 1
            return False
        latest_turn = max(reply.turn for reply in self.unsynced_replies.values())
        for name, earlier in self.unsynced_replies.items():
            later = self.replies[name]
            if later.process != earlier.process:
                self.unsynced_replies = {}
                return False
            if later.turn <= latest_turn:
                return False
        return True

    def on_note_opened(
        self, sender: ids.ProcessId, message: key_messages.NoteOpened
    ) -> parts.Effects:
        """Note an opening; only a process in sync acknowledges it for the quorum."""
        self.add(message.domain, message.ranges)
        if not self.synced:
            return []
        noted = key_messages.OpenedNoted(sender.incarnation, message.ranges)
        return [effects.Send(sender.name, noted)]

    def send_note_opened(self, domain: str, indexes: tuple[int, ...]) -> parts.Effects:
        """Return the messages that have all others note the opening of ranges."""
        if not indexes:
            return []
        note = key_messages.NoteOpened(domain, indexes)
        return [effects.Send(name, note) for name in self.others]
