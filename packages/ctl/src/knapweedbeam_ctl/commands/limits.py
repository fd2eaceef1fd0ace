"""Show limits and their use, added up over all servers that are named."""

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
class Name:
    """Which limit of whom."""

    member: str
    limit: str


class UseContent(msgspec.Struct):
    """One limit as scripts read it."""

    member: str
    limit: str
    dimension: str
    window_ms: int
    total: int
    share: int
    used: int


def show(access: connection.Connection) -> exit_codes.ExitCode:
    """Print a member's own limits, or those of all members for operators."""
    api = access.open()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, access.as_json)
    collected = api.get_each(PATH, models.LimitsBody)
    if collected.failure is not None:
        return output.print_failure(collected.failure, access.as_json)
    output.print_left_out(collected.lost)
    uses = add_up(collected.bodies)
    if access.as_json:
        output.print_json({"limits": uses})
        return exit_codes.ExitCode.OK
    output.print_table(HEADINGS, map(build_row, uses))
    return exit_codes.ExitCode.OK


def add_up(bodies: collections.abc.Iterable[models.LimitsBody]) -> list[UseContent]:
    """Return one use for each limit, with shares and use of all servers."""
    uses: dict[Name, UseContent] = {}
    for body in bodies:
        own = models.MemberLimitsBody(OWN, body.limits)
        for member in (own, *body.members):
            for limit in member.limits:
                add(uses, member.member, limit)
    return [uses[name] for name in sorted(uses)]


def add(uses: dict[Name, UseContent], member: str, limit: models.LimitBody) -> None:
    """Add what one server has used of a limit."""
    name = Name(member, limit.limit)
    use = uses.get(name)
    if use is None:
        use = UseContent(
            member,
            limit.limit,
            limit.dimension,
            limit.window_ms,
            limit.total,
            share=0,
            used=0,
        )
        uses[name] = use
    use.share += limit.share
    use.used += limit.used


def build_row(use: UseContent) -> tuple[object, ...]:
    """Return one limit as a row of the table."""
    window = f"{use.window_ms} ms" if use.window_ms else "-"
    return (
        use.member,
        use.limit,
        use.dimension,
        window,
        use.total,
        use.share,
        use.used,
    )
