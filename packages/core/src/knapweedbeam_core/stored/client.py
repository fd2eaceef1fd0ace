"""The entry VM's part: questions about stored jobs that wait for an answer."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, effects
from knapweedbeam_core.stored import messages

# An election of a new leader of the log takes 1 to 2 s; clients wait some seconds.
PATIENCE_MS = 2_500
# A lost message is sent again; all questions may come twice.
RESEND_MS = 500
# A process that cannot tell is asked again after this long.
REFUSED_PAUSE_MS = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Effect: a question has its answer."""

    number: int
    told: messages.Told


@dataclasses.dataclass(slots=True)
class OpenQuestion:
    """A question on its way; once `was_sent`, it may have changed something."""

    question: messages.Request
    asked_ms: int
    due_ms: int
    was_sent: bool = False


Effects = list[effects.Send | Answered]


class StoredJobClient:
    """The open questions of one entry VM."""

    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.open: dict[int, OpenQuestion] = {}
        self.leader = ""
        self.dispatcher = ""
        self.numbers = 0

    def allocate_number(self) -> int:
        """Return a number for the next question."""
        self.numbers += 1
        return self.numbers

    def set_recipients(self, leader: str, dispatcher: str) -> Effects:
        """Ask other processes from now on."""
        if (leader, dispatcher) == (self.leader, self.dispatcher):
            return []
        self.leader = leader
        self.dispatcher = dispatcher
        for asked in self.open.values():
            asked.due_ms = 0
        return self.tick()

    def start_request(self, question: messages.Request) -> Effects:
        """Begin to ask."""
        now_ms = self.clock.now_ms()
        asked = OpenQuestion(question, now_ms, 0)
        self.open[question.number] = asked
        return self.send(asked, now_ms)

    def send(self, asked: OpenQuestion, now_ms: int) -> Effects:
        """Send a question to the process that can answer it, if one is known."""
        is_count = isinstance(asked.question, messages.CountWaiting)
        to = self.dispatcher if is_count else self.leader
        asked.due_ms = now_ms + (RESEND_MS if to else REFUSED_PAUSE_MS)
        if not to:
            return []
        asked.was_sent = True
        return [effects.Send(to, asked.question)]

    def on_reply(self, told: messages.Told) -> Effects:
        """Take an answer; one that cannot tell lets the question wait."""
        asked = self.open.get(told.number)
        if asked is None:
            return []
        if told.verdict == messages.Verdict.ELSEWHERE:
            asked.due_ms = self.clock.now_ms() + REFUSED_PAUSE_MS
            return []
        del self.open[told.number]
        return [Answered(told.number, told)]

    def give_up(self, number: int) -> None:
        """Drop a question that nobody waits for any more."""
        self.open.pop(number, None)

    def tick(self) -> Effects:
        """Send again what is due; answer what waited too long.

        A question that was never sent has surely changed nothing.
        """
        now_ms = self.clock.now_ms()
        produced: Effects = []
        for number, asked in list(self.open.items()):
            if now_ms - asked.asked_ms > PATIENCE_MS:
                del self.open[number]
                verdict = (
                    messages.Verdict.UNCLEAR
                    if asked.was_sent
                    else messages.Verdict.ELSEWHERE
                )
                produced.append(Answered(number, messages.Told(number, verdict)))
            elif now_ms >= asked.due_ms:
                produced += self.send(asked, now_ms)
        return produced
