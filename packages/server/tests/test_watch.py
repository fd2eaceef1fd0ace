from __future__ import annotations

import io
import json
import unittest
import unittest.mock

from knapweedbeam_core import clock
from knapweedbeam_core.log import roles
from knapweedbeam_server import watch
from knapweedbeam_server.logs import emit

UP = watch.KeptView(1, 8)
LEAVING = watch.KeptView(1, 8, leaving=True)
SILENT = watch.KeptView(1, 8, silent=True)
RESTARTED = watch.KeptView(2, 8)


class WatchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = io.StringIO()
        emitter = emit.Emitter()
        emitter.set_up("json", "info", clock.ManualClock(), self.stream)
        patch = unittest.mock.patch.object(emit, "EMITTER", emitter)
        patch.start()
        self.addCleanup(patch.stop)
        self.watch = watch.Watch("a1", "a", has_neighbours=True)

    def look(self, view: watch.View) -> list[str]:
        self.stream.truncate(0)
        self.stream.seek(0)
        self.watch.look(view)
        lines = self.stream.getvalue().splitlines()
        return [json.loads(line)["name"] for line in lines]

    def look_at_endpoint(self, known: watch.KeptView | None) -> list[str]:
        endpoints = {} if known is None else {"e1": known}
        return self.look(watch.View(endpoints=endpoints, live=frozenset({"a1"})))

    def test_an_endpoint_comes_falls_silent_returns_restarts_and_leaves(self) -> None:
        history = [
            (UP, ["endpoint_up"]),
            (UP, []),
            (SILENT, ["endpoint_lost"]),
            (SILENT, []),
            (UP, ["endpoint_up"]),
            (RESTARTED, ["endpoint_up"]),
            (LEAVING, ["endpoint_leaving"]),
            (None, []),
            (UP, ["endpoint_up"]),
            (None, ["endpoint_lost"]),
        ]
        for known, expected in history:
            self.assertEqual(expected, self.look_at_endpoint(known), known)

    def test_roles_are_logged_once_and_no_quorum_after_a_while(self) -> None:
        live = frozenset({"a1"})
        follower = watch.View(roles.Role.FOLLOWER, 3, live=live)
        self.assertEqual(["replica_follower"], self.look(follower))
        self.assertEqual([], self.look(follower))
        seeking = watch.View(roles.Role.PRE_CANDIDATE, 3, live=live)
        seen = [name for _ in range(20) for name in self.look(seeking)]
        self.assertEqual(["replica_no_quorum"], seen)
        leader = watch.View(roles.Role.LEADER, 4, live=live)
        self.assertEqual(["replica_leader"], self.look(leader))
        learner = watch.View(roles.Role.FOLLOWER, 4, is_learner=True, live=live)
        self.assertEqual(["replica_learner"], self.look(learner))

    def test_live_neighbours_and_ejected_endpoints(self) -> None:
        both = watch.View(live=frozenset({"a1", "a2"}), ejected=frozenset({"e1"}))
        self.assertEqual(["keeper_changed", "endpoint_ejected"], self.look(both))
        alone = watch.View(live=frozenset({"a1"}))
        expected = ["keeper_changed", "solo_tickets", "endpoint_readmitted"]
        self.assertEqual(expected, self.look(alone))


if __name__ == "__main__":
    unittest.main()
