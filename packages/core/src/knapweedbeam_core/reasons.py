"""Reasons in outcomes and refusals."""

from __future__ import annotations

import enum


class Reason(enum.StrEnum):
    """Why something was refused or failed; the value is the text on the wire."""

    # No task of the job was run.
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    LIMIT = "limit"
    MEMORY = "memory"
    NEVER_FITS = "never_fits"
    EVACUATED = "evacuated"
    NO_ENDPOINT = "no_endpoint"
    STOPPING = "stopping"
    NOT_READY = "not_ready"
    CANCELLED = "cancelled"
    WITNESS_LOST = "witness_lost"
    SEALED = "sealed"
    UNKNOWN_SERVICE = "unknown_service"
    # Tasks may have run.
    TASK_FAILED = "task_failed"
    TASK_CRASHED_ENDPOINTS = "task_crashed_endpoints"
    TASK_TIMEOUT = "task_timeout"
    ENDPOINT_LOST = "endpoint_lost"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OWNER_LOST = "owner_lost"
    EXPIRED = "expired"
    # The request itself is invalid or not permitted.
    INVALID = "invalid"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    # An announcement or a message arrived too late.
    STALE = "stale"
    # Bundles and the replicated log.
    NO_QUORUM = "no_quorum"
    SIGNATURES = "signatures"
    DISK = "disk"
