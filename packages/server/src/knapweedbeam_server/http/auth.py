"""Who calls, by bearer token, and whether they may."""

from __future__ import annotations

import dataclasses
import enum
import hashlib

from knapweedbeam_core import outcomes, reasons, rules

SCHEME = "Bearer "
MAX_TOKEN_BYTES = 512


class Access(enum.Enum):
    """Who may call a route."""

    ANYONE = "anyone"
    CALLER = "caller"
    ENDPOINT = "endpoint"
    PLATFORM = "platform"
    OPERATOR = "operator"
    OPERATOR_OR_UNSET = "operator, or anyone while no bundle is in force"


ROLE_OF = {
    Access.CALLER: rules.Role.CALLER,
    Access.ENDPOINT: rules.Role.ENDPOINT,
    Access.PLATFORM: rules.Role.PLATFORM,
    Access.OPERATOR: rules.Role.OPERATOR,
    Access.OPERATOR_OR_UNSET: rules.Role.OPERATOR,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """The proved caller; `member` is empty for other roles."""

    member: str = ""


class Authenticator:
    """Checks tokens against the bundle in force."""

    def __init__(self) -> None:
        self.rules = rules.Rules()

    def check(self, header: str, access: Access) -> Caller | outcomes.Refusal:
        """Return the caller, or why the call is refused."""
        if access is Access.ANYONE:
            return Caller()
        if not self.rules.version and access is Access.OPERATOR_OR_UNSET:
            return Caller()
        if not self.rules.bearers:
            return outcomes.Refusal(reasons.Reason.NOT_READY, "no bundle in force yet")
        if not header.startswith(SCHEME) or len(header) > MAX_TOKEN_BYTES:
            return outcomes.Refusal(
                reasons.Reason.UNAUTHENTICATED, "a bearer token is needed"
            )
        token = header.removeprefix(SCHEME).strip().encode("latin-1", "replace")
        bearer = self.rules.bearers.get(hashlib.sha256(token).hexdigest())
        if bearer is None:
            return outcomes.Refusal(reasons.Reason.UNAUTHENTICATED, "unknown token")
        if bearer.role is not ROLE_OF[access]:
            return outcomes.Refusal(
                reasons.Reason.FORBIDDEN, f"only a token of role {ROLE_OF[access]}"
            )
        return Caller(bearer.member)
