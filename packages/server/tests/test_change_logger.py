from __future__ import annotations

import io
import json
import unittest
import unittest.mock

from knapweedbeam_core import clock
from knapweedbeam_core.log import roles
from knapweedbeam_server import change_logger
from knapweedbeam_server.logs import emit

UP = change_logger.EndpointView(1, 8)
LEAVING = change_logger.EndpointView(1, 8, leaving=True)
UNRESPONSIVE = change_logger.EndpointView(1, 8, is_unresponsive=True)
RESTARTED = change_logger.EndpointView(2, 8)


class ChangeLoggerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = io.StringIO()
        emitter = emit.Emitter()
        emitter.set_up("json", "info", clock.ManualClock(), self.stream)
        patch = unittest.mock.patch.object(emit, "EMITTER", emitter)
        patch.start()
        self.addCleanup(patch.stop)
        self.change_logger = change_logger.ChangeLogger("a1", "a", has_neighbours=True)

    def log(self, view: change_logger.ProcessView) -> list[str]:
        self.stream.truncate(0)
        self.stream.seek(0)
        self.change_logger.log_changes(view)
        lines = self.stream.getvalue().splitlines()
        return [json.loads(line)["name"] for line in lines]

    def log_endpoint(self, endpoint: change_logger.EndpointView | None) -> list[str]:
        endpoints = {} if endpoint is None else {"e1": endpoint}
        return self.log(
            change_logger.ProcessView(endpoints=endpoints, live=frozenset({"a1"}))
        )

    def test_endpoint_up_unresponsive_restarted_and_leaving_are_logged_once(
        self,
    ) -> None:
        history = [
            (UP, ["endpoint_up"]),
            (UP, []),
            (UNRESPONSIVE, ["endpoint_lost"]),
            (UNRESPONSIVE, []),
            (UP, ["endpoint_up"]),
            (RESTARTED, ["endpoint_up"]),
            (LEAVING, ["endpoint_leaving"]),
            (None, []),
            (UP, ["endpoint_up"]),
            (None, ["endpoint_lost"]),
        ]
        for endpoint, expected in history:
            self.assertEqual(expected, self.log_endpoint(endpoint), endpoint)

    def test_roles_are_logged_once_and_no_quorum_after_several_polls(self) -> None:
        live = frozenset({"a1"})
        follower = change_logger.ProcessView(roles.Role.FOLLOWER, 3, live=live)
        self.assertEqual(["replica_follower"], self.log(follower))
        self.assertEqual([], self.log(follower))
        without_leader = change_logger.ProcessView(
            roles.Role.PRE_CANDIDATE, 3, live=live
        )
        seen = [name for _ in range(20) for name in self.log(without_leader)]
        self.assertEqual(["replica_no_quorum"], seen)
        leader = change_logger.ProcessView(roles.Role.LEADER, 4, live=live)
        self.assertEqual(["replica_leader"], self.log(leader))
        learner = change_logger.ProcessView(
            roles.Role.FOLLOWER, 4, is_learner=True, live=live
        )
        self.assertEqual(["replica_learner"], self.log(learner))

    def test_changes_of_live_entry_vms_and_ejected_endpoints_are_logged(self) -> None:
        both = change_logger.ProcessView(
            live=frozenset({"a1", "a2"}), ejected=frozenset({"e1"})
        )
        self.assertEqual(["keeper_changed", "endpoint_ejected"], self.log(both))
        alone = change_logger.ProcessView(live=frozenset({"a1"}))
        expected = ["keeper_changed", "solo_tickets", "endpoint_readmitted"]
        self.assertEqual(expected, self.log(alone))


if __name__ == "__main__":
    unittest.main()
