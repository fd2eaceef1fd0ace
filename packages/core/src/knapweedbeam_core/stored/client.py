"""Client side of stored jobs at an entry VM: requests that wait for a reply."""

from __future__ import annotations

import dataclasses
import random

from knapweedbeam_core import clock, effects
from knapweedbeam_core.stored import messages

# The log needs 1 to 2 s to elect a new leader; callers wait a few seconds.
ANSWER_TIMEOUT_MS = 2_500
# Requests are resent in case a message was lost; each may arrive more than once.
RESEND_MS = 500
# Delay before the next try when the recipient could not answer or is not known.
REFUSED_PAUSE_MS = 50
FIRST_NUMBER_BITS = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Effect: a request has its reply."""

    number: int
    reply: messages.Told


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request without a reply; once `was_sent`, it may have changed the log."""

    request: messages.Request
    asked_ms: int
    due_ms: int
    was_sent: bool = False


Effects = list[effects.Send | Answered]


class StoredJobClient:
    """Sends the requests of one entry VM until they are answered or time out."""

    def __init__(self, timer: clock.Clock, rng: random.Random) -> None:
        self.clock = timer
        self.open: dict[int, PendingRequest] = {}
        self.leader = ""
        self.dispatcher = ""
        # Replies to the process that ran here before name other numbers.
        self.numbers = rng.getrandbits(FIRST_NUMBER_BITS)

    def allocate_number(self) -> int:
        """Return the number for the next request."""
        self.numbers += 1
        return self.numbers

    def set_recipients(self, leader: str, dispatcher: str) -> Effects:
        """Set the log's leader and the dispatcher; resend all requests on a change."""
        if (leader, dispatcher) == (self.leader, self.dispatcher):
            return []
        self.leader = leader
        self.dispatcher = dispatcher
        for pending in self.open.values():
            pending.due_ms = 0
        return self.tick()

    def start_request(self, request: messages.Request) -> Effects:
        """Register a request and send it."""
        now_ms = self.clock.now_ms()
        pending = PendingRequest(request, now_ms, 0)
        self.open[request.number] = pending
        return self.send_request(pending, now_ms)

    def send_request(self, pending: PendingRequest, now_ms: int) -> Effects:
        """Send a request to the process that can answer it, if one is known."""
        is_count = isinstance(pending.request, messages.CountWaiting)
        to = self.dispatcher if is_count else self.leader
        pending.due_ms = now_ms + (RESEND_MS if to else REFUSED_PAUSE_MS)
        if not to:
            return []
        pending.was_sent = True
        return [effects.Send(to, pending.request)]

    def on_reply(self, reply: messages.Told) -> Effects:
        """Handle a reply; after `ELSEWHERE` the request stays pending."""
        pending = self.open.get(reply.number)
        if pending is None:
            return []
        if reply.verdict == messages.Verdict.ELSEWHERE:
            pending.due_ms = self.clock.now_ms() + REFUSED_PAUSE_MS
            return []
        del self.open[reply.number]
        return [Answered(reply.number, reply)]

    def drop_request(self, number: int) -> None:
        """Drop a request that no caller waits for any more."""
        self.open.pop(number, None)

    def tick(self) -> Effects:
        """Resend the requests that are due, and answer those that timed out.

        A request that was never sent cannot have changed anything.
        """
        now_ms = self.clock.now_ms()
        produced: Effects = []
        for number, pending in list(self.open.items()):
            if now_ms - pending.asked_ms > ANSWER_TIMEOUT_MS:
                del self.open[number]
                verdict = (
                    messages.Verdict.UNCLEAR
                    if pending.was_sent
                    else messages.Verdict.ELSEWHERE
                )
                produced.append(Answered(number, messages.Told(number, verdict)))
            elif now_ms >= pending.due_ms:
                produced += self.send_request(pending, now_ms)
        return produced
