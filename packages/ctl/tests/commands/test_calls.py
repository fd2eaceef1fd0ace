from __future__ import annotations

import json
import pathlib
import tempfile
import unittest

import fakes
import msgspec
import typer.testing

from knapweedbeam_core import histogram_series
from knapweedbeam_ctl import __main__ as main

CLOSED_SERVER = "127.0.0.1:1"
ANSWERS: dict[str, fakes.Answer] = {
    "complete": (200, {"outcome": "complete", "answers": [{"cut": 1}, 2]}),
    "not_run": (429, {"outcome": "not_run", "reason": "limit", "retry_after_ms": 9}),
    "failed": (502, {"outcome": "failed", "reason": "task_failed"}),
    "unknown": (504, {"outcome": "failed", "reason": "outcome_unknown"}),
    "refused": (400, {"error": "refused", "reason": "invalid", "detail": "tasks"}),
}
CODES = {"complete": 0, "not_run": 10, "failed": 11, "unknown": 12, "refused": 5}


def build_handler(answer: fakes.Answer) -> fakes.Handler:
    def handle(method: str, path: str, body: bytes) -> fakes.Answer:
        if path == "/v1/tickets":
            return 201, {"tickets": ["t1"], "retention_ms": 1}
        return answer

    return handle


class CallsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.token_file = pathlib.Path(folder.name) / "token"
        self.token_file.write_text("secret\n")
        self.token_file.chmod(0o600)

    def run_command(self, *words: str) -> typer.testing.Result:
        token = ["--token-file", str(self.token_file)]
        runner = typer.testing.CliRunner()
        return runner.invoke(main.app, [*words, *token, "--json"])

    def submit(self, *servers: str) -> typer.testing.Result:
        words = [word for server in servers for word in ("--server", server)]
        job = ["--service", "quotes", "--payload", '{"band":7}', "--payload", "2"]
        return self.run_command("submit", *job, *words)

    def test_each_outcome_has_its_exit_status(self) -> None:
        for name, answer in ANSWERS.items():
            with fakes.serve(build_handler(answer)) as (server, fake):
                result = self.submit(server)
            self.assertEqual(CODES[name], result.exit_code, name)
            self.assertEqual("Bearer secret", fake.tokens[-1])
            body = json.loads(fake.calls[-1][2])
            self.assertEqual([{"payload": {"band": 7}}, {"payload": 2}], body["tasks"])

    def test_a_submission_is_retried_under_the_same_ticket(self) -> None:
        handler = build_handler(ANSWERS["complete"])
        with (
            fakes.serve(handler) as (server, fake),
            fakes.serve_without_answers() as unanswered_server,
        ):
            result = self.submit(CLOSED_SERVER, unanswered_server, server)
        self.assertEqual(0, result.exit_code, result.output)
        methods = [call[:2] for call in fake.calls]
        self.assertEqual([("POST", "/v1/tickets"), ("PUT", "/v1/jobs/t1")], methods)

    def test_tickets_that_start_with_a_dash_are_not_parsed_as_options(self) -> None:
        calls = [("job", "show"), ("job", "cancel"), ("submit", "--ticket")]
        for ticket in ("-3NXrU", "--NXrU", "-jsonX"):
            for words in calls:
                handler = build_handler(ANSWERS["complete"])
                with fakes.serve(handler) as (server, fake):
                    job = ["--service", "quotes", "--payload", "1"]
                    tail = job if "submit" in words else []
                    result = self.run_command(*words, ticket, *tail, "--server", server)
                self.assertEqual(0, result.exit_code, result.output)
                self.assertEqual(f"/v1/jobs/{ticket}", fake.calls[-1][1])

    def test_no_server_answers(self) -> None:
        self.assertEqual(4, self.submit(CLOSED_SERVER).exit_code)

    def test_a_token_file_that_others_can_read_is_refused_and_not_shown(self) -> None:
        self.token_file.chmod(0o644)
        result = self.submit(CLOSED_SERVER)
        self.assertEqual(3, result.exit_code)
        self.assertIn("0644", result.output)
        self.assertNotIn("secret", result.output)

    def test_histograms_of_several_servers_are_merged(self) -> None:
        histogram = histogram_series.build_histogram(4)
        histogram.record_value(7)
        name = histogram_series.SeriesName("north", "quote", histogram_series.Kind.WAIT)
        form = json.loads(
            msgspec.json.encode(histogram_series.build_series(name, histogram))
        )
        handler = build_handler((200, {"series": [form]}))
        with fakes.serve(handler) as (one, _), fakes.serve(handler) as (two, _):
            result = self.run_command("histograms", "--server", one, "--server", two)
        self.assertEqual(0, result.exit_code, result.output)
        found = json.loads(result.stdout)["series"]
        self.assertEqual([2], [series["count"] for series in found])

    def test_endpoints_are_merged_with_the_worst_state_and_health(self) -> None:
        one = {"endpoint": "e1", "service": "quotes", "domain": "a", "state": "up"}
        one |= {"health": "ejected", "running": 2}
        two = one | {"state": "leaving", "health": "healthy", "running": 3}
        views = [build_handler((200, {"endpoints": [view]})) for view in (one, two)]
        with fakes.serve(views[0]) as (near, _), fakes.serve(views[1]) as (far, _):
            result = self.run_command("endpoints", "--server", near, "--server", far)
        self.assertEqual(0, result.exit_code, result.output)
        (found,) = json.loads(result.stdout)["endpoints"]
        seen = (found["state"], found["health"], found["running"])
        self.assertEqual(("leaving", "ejected", 5), seen)

    def test_limits_are_summed_over_servers(self) -> None:
        use = {"limit": "quarter", "dimension": "task_starts", "total": 216}
        use |= {"share": 108, "used": 5, "window_ms": 900_000}
        handler = build_handler((200, {"limits": [use]}))
        with fakes.serve(handler) as (one, _), fakes.serve(handler) as (two, _):
            words = ("--server", one, "--server", CLOSED_SERVER, "--server", two)
            result = self.run_command("limits", *words)
        self.assertEqual(0, result.exit_code, result.output)
        (found,) = json.loads(result.stdout)["limits"]
        self.assertEqual(
            (216, 216, 10), tuple(found[k] for k in ("total", "share", "used"))
        )
        self.assertIn("left out", result.stderr)

    def test_each_refusal_has_its_exit_status(self) -> None:
        bundle = self.token_file.with_name("bundle.toml")
        bundle.write_text("version = 1\n")
        refusals = {"conflict": 21, "signatures": 22, "no_quorum": 23, "invalid": 5}
        for reason, code in refusals.items():
            answer = (409, {"error": "refused", "reason": reason, "detail": ""})
            with fakes.serve(build_handler(answer)) as (server, _):
                words = ("bundle", "roll", str(bundle), "--server", server)
                self.assertEqual(code, self.run_command(*words).exit_code)


if __name__ == "__main__":
    unittest.main()
