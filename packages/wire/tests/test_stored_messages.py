from __future__ import annotations

import unittest

from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import messages as pool_messages
from knapweedbeam_core.stored import messages
from knapweedbeam_wire import registry

STEP = pool_messages.SubmittedStep(
    4, 27_000, 64, 0, 900, (0, 1), "a", "r1-3", 2, True, False, True, False, True, 40, 1
)
JOB = messages.StoredJob(
    "5c0e7a21d94b36f8",
    manifest.Terms("queue", "service", 1, 3, 1.6, 60, 900),
    "spec",
    (STEP, STEP),
    5,
    1_700_000_000_000,
    400,
)
END = messages.NotedEnd("i-1", 17, 3, "5c0e7a21d94b36f8.0.1.17", 2, True)


class StoredMessagesTest(unittest.TestCase):
    def test_every_message_round_trips(self) -> None:
        codec = registry.build_codec(messages.CLASSES)
        sent = [
            messages.KeepJob(1, JOB),
            messages.CancelJob(2, JOB.job_id, "queue"),
            messages.LookUpJob(3, JOB.job_id, "queue"),
            messages.CountWaiting(4, "queue"),
            messages.Told(5, messages.Verdict.COUNTED, 7),
            messages.NoteEnds(6, (END, END)),
            messages.NoteCrashes((pool_messages.TaskCrash("j.0.0.0", 2, True),)),
            messages.BeginDispatch(7, 8),
        ]
        self.assertEqual({type(message) for message in sent}, set(messages.CLASSES))
        self.assertEqual(list(codec.decode(codec.encode(sent))), sent)


if __name__ == "__main__":
    unittest.main()
