"""The sections of a settings file and the options of each."""

from __future__ import annotations

import typing

from knapweedbeam_core.dispatch.policies import catalogue
from knapweedbeam_server.config import options, settings

KIB = 2**10
MIB = 2**20
GIB = 2**30
MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
POLICIES = tuple(policy.value for policy in catalogue.Policy)
LEVELS = ("debug", "info", "warning", "error")


class Section:
    """One section: its options are class attributes; `build` is its data class."""

    title: typing.ClassVar[str]
    build: typing.ClassVar[typing.Callable[..., typing.Any]]

    @classmethod
    def get_options(cls) -> dict[str, options.Option[typing.Any]]:
        """Return the options by attribute name, in the order of the class."""
        return {
            name: option
            for name, option in vars(cls).items()
            if isinstance(option, options.Option)
        }


class Process(Section):
    """The identity of this process."""

    title = "process"
    build = settings.Process
    name = options.Name("unique among the entry VMs", "local")
    domain = options.Name("the failure domain of this process", "local")
    data_folder = options.OptionalPath(
        "for the replicated log; empty: no state is stored here", ""
    )


class Listen(Section):
    """The listening addresses."""

    title = "listen"
    build = settings.Listen
    callers = options.Address(
        "for callers, endpoints and the platform", "127.0.0.1:8080"
    )
    operators = options.Address("for operators", "127.0.0.1:8081")
    links = options.Address("for the other entry VMs", "127.0.0.1:7000")


class Control(Section):
    """The replicas of the log."""

    title = "control"
    build = settings.Control
    replicas = options.NameList(
        "the entry VMs with a data folder; empty: this process, if standalone", ""
    )
    operator_keys = options.PublicKeys(
        "Ed25519 public keys in base64, for the first bundle only", ""
    )
    signatures = options.Integer("how many of these keys must sign it", "1", 1, 16)


class Keys(Section):
    """The shared secrets."""

    title = "keys"
    build = settings.Keys
    link_key = options.SecretFile(
        "authenticates the links between entry VMs; empty: random",
        "",
        "link_key_file",
    )
    ticket_key = options.SecretFile(
        "authenticates tickets; empty: random", "", "ticket_key_file"
    )


class Platform(Section):
    """The platform."""

    title = "platform"
    build = settings.Platform
    address = options.OptionalUrl("empty: running tasks cannot be stopped", "")


class Log(Section):
    """Log lines."""

    title = "log"
    build = settings.Log
    format = options.Choice("json or text", "json", ("json", "text"))
    level = options.Choice("the lowest level written", "info", LEVELS)


class Metrics(Section):
    """Metrics sent to statsd."""

    title = "metrics"
    build = settings.Metrics
    statsd = options.OptionalAddress("UDP address; empty: none", "")
    prefix = options.Name("in front of each metric's name", "knapweedbeam")


class History(Section):
    """Events for the history checker."""

    title = "history"
    build = settings.History
    file = options.OptionalPath("empty: none", "")


class Stopping(Section):
    """A graceful stop."""

    title = "stopping"
    build = settings.Stopping
    deadline_ms = options.Integer(
        "requests still open after it get no answer", "30000", 100, HOUR_MS
    )


class Dispatch(Section):
    """Placement."""

    title = "dispatch"
    build = settings.Dispatch
    policy = options.Choice(
        "the placement policy; the others are baselines", "least_finish", POLICIES
    )


class CallerLimits(Section):
    """Limits on callers, checked before memory is used for their requests."""

    title = "caller_limits"
    build = settings.CallerLimits
    body_bytes = options.ByteSize("of one request", "8 MiB", KIB, GIB)
    header_bytes = options.ByteSize("of one request", "16 KiB", KIB, MIB)
    tasks_per_job = options.Integer("in one submission", "450", 1, 100_000)
    tickets_per_call = options.Integer("in one block", "1000", 1, 100_000)
    connections = options.Integer("open at the same time", "1024", 1, 100_000)
    request_timeout_ms = options.Integer(
        "for a whole request to arrive", "10000", 100, HOUR_MS
    )
    wait_ms = options.Integer("the longest wait for an outcome", "60000", 0, HOUR_MS)
    memory_bytes = options.ByteSize(
        "of payloads and answers held for all callers", "256 MiB", MIB, 64 * GIB
    )


class MemberLimits(Section):
    """Limits on what this process holds for one member."""

    title = "member_limits"
    build = settings.MemberLimits
    memory_bytes = options.ByteSize("of payloads and answers", "128 MiB", KIB, 64 * GIB)


SECTIONS: tuple[type[Section], ...] = (
    Process,
    Listen,
    Control,
    Keys,
    Platform,
    Log,
    Metrics,
    History,
    Stopping,
    Dispatch,
    CallerLimits,
    MemberLimits,
)
PEERS = "peers"
