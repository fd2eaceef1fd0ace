"""The validated model of a bundle's TOML text."""

from __future__ import annotations

import base64
import binascii
import dataclasses
import enum
import fractions
import functools
import tomllib
import typing

import pydantic

from knapweedbeam_core import rules

MAX_BUNDLE_BYTES = 1024 * 1024
MAX_WINDOW_S = 366 * 24 * 3600
MAX_ITEMS = 4_096
MAX_CACHED_BUNDLES = 4
SIGNATURE_PREFIX = "#signature "

Name = typing.Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9_.-]{0,63}$")]
TokenHash = typing.Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
Count = typing.Annotated[int, pydantic.Field(ge=1, le=2**53)]
Size = typing.Annotated[int, pydantic.Field(ge=0, le=2**31)]


@dataclasses.dataclass(frozen=True, slots=True)
class BundleError:
    """One error in a bundle; `field` is its path in the text."""

    field: str
    detail: str


class Dimension(enum.StrEnum):
    """What a unit measures."""

    TASK_STARTS = "task_starts"
    SLOT_MS = "slot_ms"
    CONCURRENT_TASKS = "concurrent_tasks"
    BYTES = "bytes"


class Alignment(enum.StrEnum):
    """Whether windows are consecutive and fixed, or slide."""

    ALIGNED = "aligned"
    SLIDING = "sliding"


class Model(pydantic.BaseModel):
    """Base of all parts of a bundle; unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


def check_factor(text: str) -> str:
    """Return the text of a positive fraction such as `144` or `3/2`."""
    try:
        value = fractions.Fraction(text)
    except (ValueError, ZeroDivisionError) as error:
        raise ValueError("must be a whole number or a fraction such as 3/2") from error
    if value <= 0 or value.denominator > 2**31 or value.numerator > 2**53:
        raise ValueError(
            "must be positive, with a numerator up to 2^53 and a denominator up to 2^31"
        )
    return text


def check_key(text: str) -> str:
    """Return the text of an Ed25519 public key in base64."""
    try:
        raw = base64.b64decode(text, validate=True)
    except binascii.Error as error:
        raise ValueError("must be base64") from error
    if len(raw) != 32:
        raise ValueError("must hold 32 bytes")
    return text


Factor = typing.Annotated[
    str,
    pydantic.Field(pattern=r"^[0-9]+(/[0-9]+)?$"),
    pydantic.AfterValidator(check_factor),
]
PublicKey = typing.Annotated[str, pydantic.AfterValidator(check_key)]


class Operator(Model):
    """An operator who signs bundles."""

    name: Name
    key: PublicKey


class Token(Model):
    """A bearer token of an endpoint, the platform or an operator."""

    role: rules.Role
    token_sha256: TokenHash

    @pydantic.field_validator("role")
    @classmethod
    def check_role(cls, role: rules.Role) -> rules.Role:
        """Reject callers, whose tokens are listed under their member."""
        if role == rules.Role.CALLER:
            raise ValueError("a caller's token must be listed under its member")
        return role


class Member(Model):
    """A member; `standing` is its weight, and the tokens are those of its callers."""

    name: Name
    standing: int = pydantic.Field(default=1, ge=1, le=1_000)
    token_sha256: tuple[TokenHash, ...] = ()


class Service(Model):
    """A service and the defaults for its jobs and tasks."""

    name: Name
    repeatable: bool = False
    deadline_ms: int = pydantic.Field(default=30_000, ge=1, le=86_400_000)
    retention_ms: int = pydantic.Field(default=900_000, ge=1_000, le=86_400_000)
    cpu_millis: Size = 0
    memory_mib: Size = 0
    run_ms: Size = 0


class Unit(Model):
    """A unit of contracts, which is `factor` times the unit of its dimension."""

    name: Name
    dimension: Dimension
    factor: Factor = "1"


class Limit(Model):
    """An amount of a unit in each window; concurrent tasks have no window.

    `floor_percent` of it is permanently divided among the entry VMs. The control VMs
    lease the rest to the entry VMs that need it, if the window is at least 240 s.
    """

    name: Name
    amount: Factor
    unit: Name
    window_s: int = pydantic.Field(default=0, ge=0, le=MAX_WINDOW_S)
    alignment: Alignment = Alignment.SLIDING
    floor_percent: int = pydantic.Field(default=50, ge=0, le=100)


class Contract(Model):
    """The limits of one member."""

    member: Name
    limits: tuple[Limit, ...]


class FailureDomain(Model):
    """A failure domain; `share` weights its part of every limit."""

    name: Name
    entry_vms: tuple[Name, ...] = pydantic.Field(min_length=1, max_length=256)
    share: int = pydantic.Field(default=1, ge=0, le=1_000)


class Weights(Model):
    """Relative costs of a millisecond of response time and of a message."""

    response: int = pydantic.Field(default=1, ge=0, le=1_000)
    messages: int = pydantic.Field(default=1, ge=0, le=1_000)


class Bundle(Model):
    """The configuration that operators decide on."""

    version: int = pydantic.Field(ge=1, le=2**31)
    signatures: int = pydantic.Field(default=1, ge=1, le=16)
    control_vms: tuple[Name, ...] = pydantic.Field(default=(), max_length=7)
    weights: Weights = Weights()
    operators: tuple[Operator, ...] = pydantic.Field(min_length=1, max_length=64)
    failure_domains: tuple[FailureDomain, ...] = pydantic.Field(
        default=(), max_length=64
    )
    tokens: tuple[Token, ...] = pydantic.Field(default=(), max_length=MAX_ITEMS)
    members: tuple[Member, ...] = pydantic.Field(default=(), max_length=MAX_ITEMS)
    services: tuple[Service, ...] = pydantic.Field(default=(), max_length=MAX_ITEMS)
    units: tuple[Unit, ...] = pydantic.Field(default=(), max_length=MAX_ITEMS)
    contracts: tuple[Contract, ...] = pydantic.Field(default=(), max_length=MAX_ITEMS)


@functools.lru_cache(maxsize=MAX_CACHED_BUNDLES)
def parse_bundle(text: str) -> Bundle | tuple[BundleError, ...]:
    """Parse a signed or unsigned bundle; return all errors at once."""
    if len(text.encode()) > MAX_BUNDLE_BYTES:
        return (BundleError("", f"larger than {MAX_BUNDLE_BYTES} bytes"),)
    try:
        bundle = Bundle.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        return (BundleError("", str(error)),)
    except RecursionError:
        return (BundleError("", "nested too deeply"),)
    except pydantic.ValidationError as error:
        return tuple(
            build_error(details) for details in error.errors(include_url=False)
        )
    return find_conflicts(bundle) or bundle


def build_error(details: typing.Any) -> BundleError:
    """Return a pydantic error with its path in the form `members[2].name`."""
    path = ""
    for key in details["loc"]:
        path += f"[{key}]" if isinstance(key, int) else f".{key}"
    return BundleError(path.lstrip("."), details["msg"])


def find_conflicts(bundle: Bundle) -> tuple[BundleError, ...]:
    """Return the errors between the parts of a bundle."""
    errors: list[BundleError] = []
    errors += find_duplicates(bundle)
    errors += find_undefined_names(bundle)
    errors += find_limit_errors(bundle)
    if bundle.signatures > len(bundle.operators):
        errors.append(
            BundleError("signatures", "must not exceed the number of operators")
        )
    if bundle.control_vms and len(bundle.control_vms) % 2 == 0:
        errors.append(
            BundleError("control_vms", "the number of control VMs must be odd")
        )
    return tuple(errors)


def find_duplicates(bundle: Bundle) -> list[BundleError]:
    """Return an error for each name, key or token that is listed more than once."""
    vms = [vm for domain in bundle.failure_domains for vm in domain.entry_vms]
    hashes = [token.token_sha256 for token in bundle.tokens]
    hashes += [digest for member in bundle.members for digest in member.token_sha256]
    lists: dict[str, list[str]] = {
        "operators.name": [operator.name for operator in bundle.operators],
        "operators.key": [operator.key for operator in bundle.operators],
        "failure_domains.name": [domain.name for domain in bundle.failure_domains],
        "failure_domains.entry_vms": vms,
        "control_vms": list(bundle.control_vms),
        "members.name": [member.name for member in bundle.members],
        "token_sha256": hashes,
        "services.name": [service.name for service in bundle.services],
        "units.name": [unit.name for unit in bundle.units],
        "contracts.member": [contract.member for contract in bundle.contracts],
    }
    for index, contract in enumerate(bundle.contracts):
        names = [limit.name for limit in contract.limits]
        lists[f"contracts[{index}].limits.name"] = names
    return [
        BundleError(field, f"{name} is listed more than once")
        for field, names in lists.items()
        for name in sorted({name for name in names if names.count(name) > 1})
    ]


def find_undefined_names(bundle: Bundle) -> list[BundleError]:
    """Return an error for each name that is used but not defined."""
    members = {member.name for member in bundle.members}
    vms = {vm for domain in bundle.failure_domains for vm in domain.entry_vms}
    errors = [
        BundleError(
            f"contracts[{index}].member", f"member {contract.member} is not defined"
        )
        for index, contract in enumerate(bundle.contracts)
        if contract.member not in members
    ]
    errors += [
        BundleError(f"control_vms[{index}]", f"{vm} is not in any failure domain")
        for index, vm in enumerate(bundle.control_vms)
        if bundle.failure_domains and vm not in vms
    ]
    if bundle.contracts and not any(d.share for d in bundle.failure_domains):
        errors.append(
            BundleError(
                "failure_domains",
                "contracts need a failure domain with a share above 0",
            )
        )
    return errors


def find_limit_errors(bundle: Bundle) -> list[BundleError]:
    """Return an error for each limit with an undefined unit or a wrong window."""
    units = {unit.name: unit for unit in bundle.units}
    errors = []
    for index, contract in enumerate(bundle.contracts):
        for position, limit in enumerate(contract.limits):
            path = f"contracts[{index}].limits[{position}]"
            unit = units.get(limit.unit)
            if unit is None:
                errors.append(
                    BundleError(f"{path}.unit", f"unit {limit.unit} is not defined")
                )
                continue
            has_window = unit.dimension != Dimension.CONCURRENT_TASKS
            if has_window != bool(limit.window_s):
                detail = (
                    "is required"
                    if has_window
                    else "is not allowed for concurrent tasks"
                )
                errors.append(BundleError(f"{path}.window_s", detail))
    return errors
