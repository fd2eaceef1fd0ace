from __future__ import annotations

import dataclasses
import unittest

from knapweedbeam_core import clock
from knapweedbeam_core.fleet import (
    dispatcher_role,
    job_routes,
    membership,
    messages,
    participant,
)

OWNER = messages.ShardOwner("c1", 1, 50)
LEAD = messages.Presence(
    "c0", True, "domain", "", True, False, 40, 40, "c0", "c0", 1, shards=(OWNER, OWNER)
)


class JobRoutesTest(unittest.TestCase):
    def test_stored_jobs_are_counted_by_the_owner_of_the_first_shard(self) -> None:
        """The lead was asked, which places none if it doesn't own that shard."""
        timer = clock.ManualClock(0, 1_700_000_000_000)
        members = membership.Membership("e0", False, (), timer)
        routes = job_routes.JobRoutes(members)
        self.assertEqual(routes.get_primary(), "")
        members.record_heartbeat(LEAD)
        members.record_heartbeat(
            dataclasses.replace(LEAD, name="c1", generation=0, shards=())
        )
        choice = dispatcher_role.Choice("c0", 40)
        routes.update(participant.Update(choice, "c0", ()), ())
        self.assertEqual(routes.get_primary(), "c1")


if __name__ == "__main__":
    unittest.main()
