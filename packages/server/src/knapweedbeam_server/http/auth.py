"""Authenticate callers by bearer token and check their access to a route."""

from __future__ import annotations

import dataclasses
import enum
import hashlib

from knapweedbeam_core import outcomes, reasons, rules

SCHEME = "Bearer "
MAX_TOKEN_BYTES = 512


class Access(enum.Enum):
    """The callers that a route admits."""

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
    """An authenticated caller; `member` is empty for roles other than callers."""

    member: str = ""


class Authenticator:
    """Checks tokens against the bundle in force."""

    def __init__(self) -> None:
        self.rules = rules.Rules()

    def check(self, header: str, access: Access) -> Caller | outcomes.Refusal:
        """Return the caller, or a refusal of the call."""
        if access is Access.ANYONE:
            return Caller()
        if not self.rules.version and access is Access.OPERATOR_OR_UNSET:
            return Caller()
        if not self.rules.bearers:
            return outcomes.Refusal(reasons.Reason.NOT_READY, "no bundle in force yet")
        if not header.startswith(SCHEME) or len(header) > MAX_TOKEN_BYTES:
            return outcomes.Refusal(
                reasons.Reason.UNAUTHENTICATED, "a bearer token is required"
            )
        token = header.removeprefix(SCHEME).strip().encode("latin-1", "replace")
        bearer = self.rules.bearers.get(hashlib.sha256(token).hexdigest())
        if bearer is None:
            return outcomes.Refusal(reasons.Reason.UNAUTHENTICATED, "unknown token")
        if bearer.role is not ROLE_OF[access]:
            return outcomes.Refusal(
                reasons.Reason.FORBIDDEN,
                f"this needs a token of role {ROLE_OF[access]}",
            )
        return Caller(bearer.member)
