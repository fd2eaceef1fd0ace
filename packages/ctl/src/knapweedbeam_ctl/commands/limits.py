"""Show limits and their usage, summed over all given servers."""

from __future__ import annotations

import collections.abc
import dataclasses

import msgspec

from knapweedbeam_ctl import exit_codes, failures, models, output
from knapweedbeam_ctl.commands import connection

PATH = "/v1/limits"
HEADINGS = ("member", "limit", "counts", "window", "total", "shares", "used")
OWN = "(own)"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class LimitKey:
    """A limit of a member."""

    member: str
    limit: str


class LimitUsage(msgspec.Struct):
    """One limit and its usage; also the JSON form."""

    member: str
    limit: str
    dimension: str
    window_ms: int
    total: int
    share: int
    used: int


def show(settings: connection.ConnectionSettings) -> exit_codes.ExitCode:
    """Print a member's own limits, or those of all members for operators."""
    api = settings.create_client()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, settings.as_json)
    collected = api.get_each(PATH, models.LimitsBody)
    if collected.failure is not None:
        return output.print_failure(collected.failure, settings.as_json)
    output.print_unanswered(collected.unanswered)
    usages = sum_usage(collected.bodies)
    if settings.as_json:
        output.print_json({"limits": usages})
        return exit_codes.ExitCode.OK
    output.print_table(HEADINGS, map(build_row, usages))
    return exit_codes.ExitCode.OK


def sum_usage(bodies: collections.abc.Iterable[models.LimitsBody]) -> list[LimitUsage]:
    """Return one entry for each limit, with shares and usage summed over servers."""
    usages: dict[LimitKey, LimitUsage] = {}
    for body in bodies:
        own = models.MemberLimitsBody(OWN, body.limits)
        for member in (own, *body.members):
            for limit in member.limits:
                add_usage(usages, member.member, limit)
    return [usages[key] for key in sorted(usages)]


def add_usage(
    usages: dict[LimitKey, LimitUsage], member: str, limit: models.LimitBody
) -> None:
    """Add one server's share and usage of a limit."""
    key = LimitKey(member, limit.limit)
    usage = usages.get(key)
    if usage is None:
        usage = LimitUsage(
            member,
            limit.limit,
            limit.dimension,
            limit.window_ms,
            limit.total,
            share=0,
            used=0,
        )
        usages[key] = usage
    usage.share += limit.share
    usage.used += limit.used


def build_row(usage: LimitUsage) -> tuple[object, ...]:
    """Return the table row of a limit."""
    window = f"{usage.window_ms} ms" if usage.window_ms else "-"
    return (
        usage.member,
        usage.limit,
        usage.dimension,
        window,
        usage.total,
        usage.share,
        usage.used,
    )
