"""The log entries that a replica holds in memory."""

from __future__ import annotations

from knapweedbeam_core.log import records


class Entries:
    """The entries after `base_index`, without gaps."""

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.items: list[records.Entry] = []

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry."""
        return self.base_index + len(self.items)

    @property
    def last_term(self) -> int:
        """Return the term of the newest entry."""
        return self.items[-1].term if self.items else self.base_term

    def get_term(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.items[index - self.base_index - 1].term
        return None

    def get(self, index: int) -> records.Entry:
        """Return an entry; it must be held."""
        return self.items[index - self.base_index - 1]

    def get_from(self, first_index: int, max_bytes: int) -> list[records.Entry]:
        """Return entries from `first_index` on: up to `max_bytes`, but at least one.

        The result is empty if there are none.
        """
        batch: list[records.Entry] = []
        size = 0
        for entry in self.items[first_index - self.base_index - 1 :]:
            size += len(entry.data)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return batch

    def get_after(self, index: int) -> list[records.Entry]:
        """Return every entry after `index`."""
        return self.items[max(0, index - self.base_index) :]

    def find_term_start(self, index: int) -> int:
        """Return the first held index with the same term as `index`."""
        term = self.get_term(index)
        while index > self.base_index + 1 and self.get_term(index - 1) == term:
            index -= 1
        return index

    def append(self, entry: records.Entry) -> None:
        """Append an entry, replacing those at its index and after."""
        del self.items[entry.index - self.base_index - 1 :]
        self.items.append(entry)

    def compact(self, index: int) -> None:
        """Drop the entries up to `index`, but keep the term of that entry."""
        term = self.get_term(index)
        if term is None or index <= self.base_index:
            return
        del self.items[: index - self.base_index]
        self.base_index = index
        self.base_term = term
