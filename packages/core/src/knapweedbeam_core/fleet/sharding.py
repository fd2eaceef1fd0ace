"""Divides the endpoints among several dispatchers.

Load: more task starts a second than the processor of one VM can make. One dispatcher
serves some 60 endpoints with half of a core VM, and packs wide tasks best while it has
all of them; so a deployment is divided only when it has more. Endpoints and jobs belong
to a shard by a hash of their id, so that every shard has endpoints in each failure
domain and a job that is submitted again finds its first submission.

Owners that are overloaded are relieved of shards, see `relief`.

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
from knapweedbeam_core.fleet import (
    dispatcher_role,
    membership,
    messages,
    relief,
    terms,
)

ENDPOINTS_PER_SHARD = 60
# The processor, in cores, of a VM that dispatches on that many endpoints. On a smaller
# one a shard is smaller too.
FULL_SHARD_CORES = 1.72
# With fewer endpoints for each dispatcher, wide jobs find too little room in a shard.
MIN_ENDPOINTS_PER_SHARD = 12
# The endpoints of a deployment that starts announce themselves within this time.
SETTLE_MS = 1_500
# Division stops the tasks that run, so it waits for a pause in the work, but not for
# long: a deployment that started again under load is too much for one dispatcher.
MAX_PAUSE_WAIT_MS = 2_000
# The number of shards follows the number of endpoints in steps of at least this factor.
GROWTH_STEP = 1.5
# Endpoints that restart under new ids count twice for some seconds, so a division stays
# until each shard has this many times its endpoints.
REGROWTH_FACTOR = 1.25
# Owners that have more than others give shards to them after this time, but not to a
# process that just started: it may not know all endpoints yet, and lets jobs of other
# dispatchers wait. See `Takeover.holds_all_endpoints`.
BALANCE_MS = 500
MATURE_MS = 10_000
# Pause between two tokens for a shard whose endpoints refuse them.
REFUSED_PAUSE_MS = 300
# An owner that hears of no lead for this long gives up its shards.
LEAD_TIMEOUT_MS = 2_000

Table = tuple[messages.ShardOwner, ...]
Candidates = dict[str, messages.Presence]
# The new owners of shards.
Changes = dict[int, messages.Presence]


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a dispatcher has to do: known endpoints, open jobs, stored jobs."""

    endpoint_count: int
    has_open_jobs: bool
    has_stored_jobs: bool


def get_shard(name: str, count: int) -> int:
    """Return the shard of an endpoint or a job, of `count` shards."""
    return zlib.crc32(name.encode()) % count if count > 1 else 0


def get_endpoints_per_shard(cores: float) -> int:
    """Return how many endpoints a shard should have on VMs with so much processor.

    `cores` is 0 if that is unknown.
    """
    if not cores:
        return ENDPOINTS_PER_SHARD
    share = min(1.0, cores / FULL_SHARD_CORES)
    return max(MIN_ENDPOINTS_PER_SHARD, round(ENDPOINTS_PER_SHARD * share))


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
    `recalled_count` is the number of shards before the restart, 0 if unknown.
    `refused` are shards of this process, with tokens that it can't use there: endpoints
    refused them, or their term has ended. The lead replaces them.
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
        self.started_ms = timer.now_ms()
        self.endpoints_per_shard = endpoints_per_shard
        self.table: Table = ()
        self.recalled_count = 0
        self.refused: set[tuple[int, int]] = set()
        self.terms = terms.Terms()
        self.is_lead = False
        self.has_had_stored_jobs = False
        self.lead_heard_ms = timer.now_ms()
        self.resize_wanted_ms: int | None = None
        self.wanted_count = 1
        self.unbalanced_ms: int | None = None
        self.relief = relief.Relief(timer)
        self.reissued_ms: dict[int, int] = {}

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
            self.refused &= {
                (shard, each.token)
                for shard, each in enumerate(self.table)
                if self.is_own(each)
            }
        named = self.list_named_tokens()
        self.terms.update(max(1, len(self.table)), named)
        self.refused |= named.items() - self.terms.tokens.items()
        return self.table

    def list_own_tokens(self) -> dict[int, int]:
        """Return this process's fencing token for each of its shards."""
        return dict(self.terms.tokens)

    def list_named_tokens(self) -> dict[int, int]:
        """Return the tokens that the division names for this process, by shard."""
        if not self.table:
            return {0: self.role.generation} if self.role.generation else {}
        return {
            shard: owner.token
            for shard, owner in enumerate(self.table)
            if self.is_own(owner) and (shard, owner.token) not in self.refused
        }

    def is_own(self, owner: messages.ShardOwner) -> bool:
        """Return whether an owner is this incarnation of this process."""
        is_same = owner.incarnation == self.incarnation
        return owner.name == self.members.name and is_same

    def handle_refused_token(self, token: int) -> bool:
        """Give up the shards with a token; return whether there are any."""
        given_up = {
            (shard, token)
            for shard, each in enumerate(self.table)
            if each.token == token and self.is_own(each)
        }
        if not given_up:
            return False
        self.refused |= given_up
        self.terms.update(len(self.table), self.list_named_tokens())
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
        self.relief = relief.Relief(self.clock)
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
        if not self.table and not any(alone):
            self.recall_division()

    def recall_division(self) -> None:
        """Divide as before all processes restarted: nothing runs that it would stop.

        A process that has run for longer knows how the endpoints are divided.
        """
        if self.clock.now_ms() - self.started_ms >= MATURE_MS:
            return
        if self.recalled_count > 1 and not self.is_alone:
            # Core VMs that start later get their shards when these are balanced.
            self.table = (messages.ShardOwner("", 0, 0),) * self.recalled_count

    def get_known_count(self) -> int:
        """Return the number of shards, as far as this process knows it."""
        if not self.table and not self.is_alone:
            return max(1, self.recalled_count)
        return max(1, len(self.table))

    def decide(self, own: messages.Presence, work: Work) -> None:
        """Divide the endpoints, and replace owners that are lost."""
        if self.members.is_catching_up():
            return
        candidates = self.list_candidates(own)
        overloaded = {name for name in candidates if candidates[name].is_overloaded}
        self.relief.record(self.list_owner_names(), overloaded)
        self.resize(candidates, work)
        if self.table:
            changes = self.find_replacements(candidates)
            changes |= self.find_moves(candidates, changes)
            changes |= self.find_relief(candidates, changes)
            self.assign(changes)
        self.lead_heard_ms = self.clock.now_ms()

    def list_candidates(self, own: messages.Presence) -> Candidates:
        """Return the processes that may own shards."""
        candidates = {
            presence.name: presence
            for presence in self.members.get_live()
            if presence.is_core and presence.is_ready and not presence.is_stopping
        }
        if not own.is_stopping or not candidates:
            candidates[own.name] = own
        return candidates

    def is_mature(self, name: str) -> bool:
        """Return whether a candidate has run for long enough to know all endpoints."""
        if name == self.members.name:
            return self.clock.now_ms() - self.started_ms >= MATURE_MS
        return self.members.get_known_ms(name) >= MATURE_MS

    def resize(self, candidates: Candidates, work: Work) -> None:
        """Change the number of shards once another one has been right for a while."""
        now_ms = self.clock.now_ms()
        size = max(1, len(self.table))
        work = dataclasses.replace(work, has_stored_jobs=self.has_had_stored_jobs)
        # A core VM that is away for a moment gets its shard when it is back.
        owner_count = len(self.members.get_core_names() | set(candidates))
        factor = REGROWTH_FACTOR if size > 1 else 1
        shard_size = int(factor * self.endpoints_per_shard)
        wanted = count_shards(work, owner_count, shard_size)
        wanted = max(wanted, self.count_shards_for_load(work, owner_count))
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
            self.relief.record_division()
            self.set_count(wanted)

    def count_shards_for_load(self, work: Work, owner_count: int) -> int:
        """Return how many shards the load of the owners asks for."""
        owners = self.list_owner_names()
        if self.is_alone or not self.relief.needs_division(owners, work.endpoint_count):
            return 1
        most = work.endpoint_count // MIN_ENDPOINTS_PER_SHARD
        return min(2 * len(owners), owner_count, most)

    def list_owner_names(self) -> list[str]:
        """Return the owner of each shard."""
        return [owner.name for owner in self.table] or [self.members.name]

    def find_relief(self, candidates: Candidates, changes: Changes) -> Changes:
        """Return the move of a shard from an overloaded owner to an idle core VM."""
        if changes:
            return {}
        counts = self.count_by_owner(candidates, changes)
        idle = [
            name
            for name, count in counts.items()
            if not count and self.is_mature(name) and name != self.members.name
        ]
        moved = self.relief.move(self.list_owner_names(), idle)
        return {moved[0]: candidates[moved[1]]} if moved is not None else {}

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

    def find_replacements(self, candidates: Candidates) -> Changes:
        """Return a new owner for each shard whose owner is lost, or was refused."""
        now_ms = self.clock.now_ms()
        counts = self.count_by_owner(candidates, {})
        changes: Changes = {}
        for shard, owner in enumerate(self.table):
            presence = candidates.get(owner.name)
            if presence is None or presence.incarnation != owner.incarnation:
                name = min(counts, key=lambda each: self.rank(each, counts[each]))
                counts[name] += 1
                changes[shard] = candidates[name]
            elif not self.is_refused(presence, shard, owner.token):
                continue
            elif now_ms >= self.reissued_ms.get(shard, 0) + REFUSED_PAUSE_MS:
                self.reissued_ms[shard] = now_ms
                changes[shard] = presence
        return changes

    def rank(self, name: str, shard_count: int) -> tuple[bool, int, bool, str]:
        """Return the sort key of a candidate; the lowest key gets the next shard."""
        is_own = name == self.members.name
        return not self.is_mature(name), shard_count, is_own, name

    def is_refused(self, presence: messages.Presence, shard: int, token: int) -> bool:
        """Return whether a process cannot use its token for a shard.

        Processes of earlier versions name tokens without their shards.
        """
        if presence.name == self.members.name:
            return (shard, token) in self.refused
        if len(presence.refused_shards) != len(presence.refused):
            return token in presence.refused
        named = zip(presence.refused_shards, presence.refused, strict=True)
        return (shard, token) in named

    def count_by_owner(
        self, candidates: Candidates, changes: Changes
    ) -> collections.Counter[str]:
        """Return the number of shards of each candidate after some changes."""
        counts = collections.Counter(dict.fromkeys(candidates, 0))
        for shard, owner in enumerate(self.table):
            name = changes[shard].name if shard in changes else owner.name
            if name in candidates:
                counts[name] += 1
        return counts

    def find_moves(self, candidates: Candidates, changes: Changes) -> Changes:
        """Return the shards to move so that owners have similar numbers of them."""
        now_ms = self.clock.now_ms()
        counts = self.count_by_owner(candidates, changes)
        mature = [name for name in candidates if self.is_mature(name)]
        fewest = min((counts[name] for name in mature), default=len(self.table))
        if changes or max(counts.values()) - fewest < 2:
            self.unbalanced_ms = None
            return {}
        if self.unbalanced_ms is None:
            self.unbalanced_ms = now_ms
        if now_ms - self.unbalanced_ms < BALANCE_MS:
            return {}
        self.unbalanced_ms = None
        moves: Changes = {}
        for shard, owner in enumerate(self.table):
            least = min(mature, key=lambda each: self.rank(each, counts[each]))
            if counts[owner.name] - counts[least] >= 2:
                counts[owner.name] -= 1
                counts[least] += 1
                moves[shard] = candidates[least]
        return moves

    def assign(self, changes: Changes) -> None:
        """Give shards to other owners, with one new token."""
        if not changes:
            return
        token = self.role.create_token()
        self.table = tuple(
            messages.ShardOwner(changes[shard].name, changes[shard].incarnation, token)
            if shard in changes
            else owner
            for shard, owner in enumerate(self.table)
        )


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
