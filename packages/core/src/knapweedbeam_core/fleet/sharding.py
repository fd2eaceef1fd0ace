"""Divides the endpoints among several dispatchers.

Load: more task starts a second than the processor of one VM can make. One dispatcher
serves some 40 endpoints with half of a core VM, and packs wide tasks best while it has
all of them; so a deployment is divided only when it has more. Endpoints and jobs belong
to a shard by a hash of their id, so that every shard has endpoints in each failure
domain and a job that is submitted again finds its first submission.

The active dispatcher of the deployment, the lead, names the owner of each shard in its
heartbeats, each with a fencing token of its own. Core VMs that the lead hears own
shards. When an owner is lost, only its shards get another owner and token; when the
lead is lost, its successor keeps the owners that are left.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import zlib

from knapweedbeam_core import clock
from knapweedbeam_core.fleet import dispatcher_role, membership, messages

ENDPOINTS_PER_SHARD = 40
# The endpoints of a deployment that starts announce themselves within this time.
SETTLE_MS = 1_500
# Division stops the tasks that run, so it waits for a pause in the work, but not for
# long: a deployment that started again under load is too much for one dispatcher.
MAX_PAUSE_WAIT_MS = 2_000
# The number of shards follows the number of endpoints in steps of at least this factor.
GROWTH_STEP = 1.5
# A process that returned gets shards of others after this time.
BALANCE_MS = 2_000
# Pause between two tokens for a shard whose endpoints refuse them.
REFUSED_PAUSE_MS = 300
# An owner that hears of no lead for this long gives up its shards.
LEAD_TIMEOUT_MS = 2_000

Table = tuple[messages.ShardOwner, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a dispatcher has to do: known endpoints, open jobs, stored jobs."""

    endpoint_count: int
    has_open_jobs: bool
    has_stored_jobs: bool


def get_shard(name: str, count: int) -> int:
    """Return the shard of an endpoint or a job, of `count` shards."""
    return zlib.crc32(name.encode()) % count if count > 1 else 0


def count_shards(work: Work, owner_count: int, endpoints_per_shard: int) -> int:
    """Return how many shards a deployment should have.

    Stored jobs are placed by one dispatcher, which has to have all endpoints.
    """
    if work.has_stored_jobs:
        return 1
    return max(1, min(owner_count, work.endpoint_count // endpoints_per_shard))


class Sharding:
    """The division of the endpoints, as one process decides or learns of it.

    `table` is the division in force here, empty while one process dispatches alone.
    `refused` are tokens of this process that endpoints refused.
    """

    def __init__(
        self,
        members: membership.Membership,
        role: dispatcher_role.DispatcherRole,
        incarnation: int,
        timer: clock.Clock,
        endpoints_per_shard: int = ENDPOINTS_PER_SHARD,
    ) -> None:
        self.members = members
        self.role = role
        self.incarnation = incarnation
        self.clock = timer
        self.endpoints_per_shard = endpoints_per_shard
        self.table: Table = ()
        self.refused: set[int] = set()
        self.is_lead = False
        self.has_had_stored_jobs = False
        self.lead_heard_ms = timer.now_ms()
        self.resize_wanted_ms: int | None = None
        self.wanted_count = 1
        self.unbalanced_ms: int | None = None
        self.reissued_ms = -REFUSED_PAUSE_MS

    def update(self, own: messages.Presence, work: Work) -> Table:
        """Decide on the division if this process is the lead, or learn of it."""
        self.has_had_stored_jobs |= work.has_stored_jobs
        if not self.role.generation:
            self.is_lead = False
            self.learn()
        else:
            if not self.is_lead:
                self.take_lead()
            self.decide(own, work)
        if self.refused:
            self.refused &= {owner.token for owner in self.table}
        return self.table

    def list_own_tokens(self) -> dict[int, int]:
        """Return this process's fencing token for each of its shards."""
        if not self.table:
            return {0: self.role.generation} if self.role.generation else {}
        return {
            shard: owner.token
            for shard, owner in enumerate(self.table)
            if self.is_own(owner) and owner.token not in self.refused
        }

    def is_own(self, owner: messages.ShardOwner) -> bool:
        """Return whether an owner is this incarnation of this process."""
        is_same = owner.incarnation == self.incarnation
        return owner.name == self.members.name and is_same

    def handle_refused_token(self, token: int) -> bool:
        """Give up the shard with a token; return whether there is one."""
        if all(owner.token != token for owner in self.table):
            return False
        self.refused.add(token)
        return True

    # Other processes than the lead.

    def learn(self) -> None:
        """Take over the division that the lead names."""
        now_ms = self.clock.now_ms()
        lead = self.role.following
        presence = self.members.get_presence(lead.name)
        if presence is not None and presence.generation:
            self.lead_heard_ms = now_ms
            self.table = presence.shards
        elif now_ms - self.lead_heard_ms > LEAD_TIMEOUT_MS:
            self.table = ()

    # The lead.

    def take_lead(self) -> None:
        """Start from the newest division that this process has heard of."""
        self.is_lead = True
        self.resize_wanted_ms = self.unbalanced_ms = None
        known = [
            member.presence
            for member in self.members.members.values()
            if member.presence is not None
        ]
        self.table = merge_tables([self.table, *(each.shards for each in known)])
        alone = [each.generation for each in known if not each.shards]
        newest = max((owner.token for owner in self.table), default=0)
        if max(alone, default=0) > newest:
            # A later lead dispatched alone.
            self.table = ()

    def decide(self, own: messages.Presence, work: Work) -> None:
        """Divide the endpoints, and replace owners that are lost."""
        candidates = self.list_candidates(own)
        self.resize(candidates, work)
        if self.table:
            self.replace_owners(candidates)
            self.balance(candidates)
        self.lead_heard_ms = self.clock.now_ms()

    def list_candidates(self, own: messages.Presence) -> dict[str, messages.Presence]:
        """Return the processes that may own shards."""
        candidates = {
            presence.name: presence
            for presence in self.members.get_live()
            if presence.is_core and presence.is_ready and not presence.is_stopping
        }
        if not own.is_stopping or not candidates:
            candidates[own.name] = own
        return candidates

    def resize(
        self, candidates: collections.abc.Mapping[str, messages.Presence], work: Work
    ) -> None:
        """Change the number of shards once another one has been right for a while."""
        now_ms = self.clock.now_ms()
        size = max(1, len(self.table))
        work = dataclasses.replace(work, has_stored_jobs=self.has_had_stored_jobs)
        # A core VM that is away for a moment gets its shard when it is back.
        owner_count = len(self.members.get_core_names() | set(candidates))
        wanted = count_shards(work, owner_count, self.endpoints_per_shard)
        is_due = wanted >= GROWTH_STEP * size or (wanted == 1 < size and self.is_alone)
        if not is_due:
            self.resize_wanted_ms = None
            return
        if self.resize_wanted_ms is None or wanted != self.wanted_count:
            self.resize_wanted_ms = now_ms
            self.wanted_count = wanted
        waited_ms = now_ms - self.resize_wanted_ms
        is_calm = not work.has_open_jobs or waited_ms >= MAX_PAUSE_WAIT_MS
        if self.is_alone or (waited_ms >= SETTLE_MS and is_calm):
            self.resize_wanted_ms = None
            self.set_count(wanted)

    def set_count(self, count: int) -> None:
        """Start a new division, whose shards have no owners yet, or dispatch alone."""
        self.table = ()
        if count > 1:
            self.table = (messages.ShardOwner("", 0, 0),) * count
        else:
            # Endpoints have seen the tokens of the shards.
            self.role.generation = self.role.create_token()

    @property
    def is_alone(self) -> bool:
        """Return whether this process has to dispatch alone."""
        return self.has_had_stored_jobs

    def replace_owners(
        self, candidates: collections.abc.Mapping[str, messages.Presence]
    ) -> None:
        """Give each shard whose owner is lost, or was refused, an owner and a token."""
        now_ms = self.clock.now_ms()
        may_reissue = now_ms - self.reissued_ms >= REFUSED_PAUSE_MS
        counts = self.count_by_owner(candidates)
        for shard, owner in enumerate(self.table):
            presence = candidates.get(owner.name)
            is_lost = presence is None or presence.incarnation != owner.incarnation
            refused = self.refused
            if presence is not None and owner.name != self.members.name:
                refused = set(presence.refused)
            if is_lost:
                name = min(
                    counts,
                    key=lambda each: (counts[each], each == self.members.name, each),
                )
                counts[name] += 1
                self.assign(shard, candidates[name])
            elif owner.token in refused and may_reissue and presence is not None:
                self.reissued_ms = now_ms
                self.assign(shard, presence)

    def count_by_owner(
        self, candidates: collections.abc.Mapping[str, messages.Presence]
    ) -> collections.Counter[str]:
        """Return the number of shards of each candidate."""
        counts = collections.Counter(dict.fromkeys(candidates, 0))
        for owner in self.table:
            presence = candidates.get(owner.name)
            if presence is not None and presence.incarnation == owner.incarnation:
                counts[owner.name] += 1
        return counts

    def balance(
        self, candidates: collections.abc.Mapping[str, messages.Presence]
    ) -> None:
        """Move a shard from the owner with most to a process with two fewer."""
        now_ms = self.clock.now_ms()
        counts = self.count_by_owner(candidates)
        most = max(counts, key=lambda each: (counts[each], each == self.members.name))
        least = min(counts, key=lambda each: (counts[each], each))
        if counts[most] - counts[least] < 2:
            self.unbalanced_ms = None
        elif self.unbalanced_ms is None:
            self.unbalanced_ms = now_ms
        elif now_ms - self.unbalanced_ms >= BALANCE_MS:
            self.unbalanced_ms = None
            shard = next(
                shard for shard, owner in enumerate(self.table) if owner.name == most
            )
            self.assign(shard, candidates[least])

    def assign(self, shard: int, presence: messages.Presence) -> None:
        """Make a process the owner of a shard, with a new token."""
        token = self.role.create_token()
        owner = messages.ShardOwner(presence.name, presence.incarnation, token)
        self.table = (*self.table[:shard], owner, *self.table[shard + 1 :])


def merge_tables(tables: collections.abc.Iterable[Table]) -> Table:
    """Return the newest owner of each shard in divisions that were named.

    The division with the highest token counts, with later owners from those of the
    same size.
    """
    named = [table for table in tables if table]
    if not named:
        return ()
    newest = max(named, key=lambda table: max(owner.token for owner in table))
    same_size = [table for table in named if len(table) == len(newest)]
    return tuple(
        max((table[shard] for table in same_size), key=lambda owner: owner.token)
        for shard in range(len(newest))
    )
