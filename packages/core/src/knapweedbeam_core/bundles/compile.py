"""Compilation of a validated bundle into the rules that every part applies."""

from __future__ import annotations

import base64

from knapweedbeam_core import rules
from knapweedbeam_core.bundles import model


def compile_rules(bundle: model.Bundle, digest: str) -> rules.Rules:
    """Return the rules of a bundle."""
    return rules.Rules(
        version=bundle.version,
        digest=digest,
        members={m.name: rules.MemberRules(m.name, m.standing) for m in bundle.members},
        services={service.name: build_service(service) for service in bundle.services},
        bearers=build_bearers(bundle),
        weights=rules.Weights(bundle.weights.response, bundle.weights.messages),
    )


def build_service(service: model.Service) -> rules.ServiceRules:
    """Return the rules of one service."""
    return rules.ServiceRules(
        name=service.name,
        repeatable=service.repeatable,
        deadline_ms=service.deadline_ms,
        retention_ms=service.retention_ms,
        cpu_millis=service.cpu_millis,
        memory_mib=service.memory_mib,
        run_ms=service.run_ms,
    )


def build_bearers(bundle: model.Bundle) -> dict[str, rules.Bearer]:
    """Return the holders of bearer tokens, by token hash."""
    bearers = {
        digest: rules.Bearer(rules.Role.CALLER, member.name)
        for member in bundle.members
        for digest in member.token_sha256
    }
    for token in bundle.tokens:
        bearers[token.token_sha256] = rules.Bearer(token.role)
    return bearers


def get_operator_keys(bundle: model.Bundle) -> tuple[bytes, ...]:
    """Return the raw public keys of a bundle's operators."""
    return tuple(base64.b64decode(operator.key) for operator in bundle.operators)
