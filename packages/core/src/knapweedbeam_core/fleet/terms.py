"""The terms of one process: the times in which it dispatches on a shard.

A fencing token stands for what a dispatcher remembers of its term. Entry VMs and other
processes take the same token for the same memory, so a token is used for one term only:
one that is named again after its term has ended needs a successor.
"""

from __future__ import annotations

import collections.abc


class Terms:
    """The fencing tokens that this process uses, and the highest of those it has used.

    `tokens` are those of the terms that go on, by shard; `count` is the number of
    shards of the division that they belong to.
    """

    def __init__(self) -> None:
        self.count = 1
        self.tokens: dict[int, int] = {}
        self.highest_ended = 0

    def update(
        self, count: int, named: collections.abc.Mapping[int, int]
    ) -> frozenset[int]:
        """End and begin terms as a division names them; return the unusable tokens.

        Those are no higher than a token whose term has ended.
        """
        going_on = self.tokens if count == self.count else {}
        ended = [
            token
            for shard, token in self.tokens.items()
            if shard not in going_on or named.get(shard) != token
        ]
        self.highest_ended = max([self.highest_ended, *ended])
        self.count = count
        self.tokens = {
            shard: token
            for shard, token in named.items()
            if going_on.get(shard) == token or token > self.highest_ended
        }
        return frozenset(
            token for shard, token in named.items() if shard not in self.tokens
        )
