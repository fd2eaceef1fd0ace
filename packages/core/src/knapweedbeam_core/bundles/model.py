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
PARSED_KEPT = 4
SIGNATURE_PREFIX = "#signature "

Name = typing.Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9_.-]{0,63}$")]
TokenHash = typing.Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
Count = typing.Annotated[int, pydantic.Field(ge=1, le=2**53)]
Size = typing.Annotated[int, pydantic.Field(ge=0, le=2**31)]


@dataclasses.dataclass(frozen=True, slots=True)
class BundleError:
    """One fault of a bundle; `field` is its path in the text."""

    field: str
    detail: str


class Dimension(enum.StrEnum):
    """What a unit counts."""

    TASK_STARTS = "task_starts"
    SLOT_MS = "slot_ms"
    CONCURRENT_TASKS = "concurrent_tasks"
    BYTES = "bytes"


class Alignment(enum.StrEnum):
    """Whether windows follow each other or slide."""

    ALIGNED = "aligned"
    SLIDING = "sliding"


class Model(pydantic.BaseModel):
    """A part of a bundle; unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


def check_factor(text: str) -> str:
    """Return the text of a positive fraction such as `144` or `3/2`."""
    try:
        value = fractions.Fraction(text)
    except (ValueError, ZeroDivisionError) as error:
        raise ValueError("must be a whole number or a fraction such as 3/2") from error
    if value <= 0 or value.denominator > 2**31 or value.numerator > 2**53:
        raise ValueError("must be positive and within 2^53")
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
    """A bearer that is no member: an endpoint, the platform or an operator."""

    role: rules.Role
    token_sha256: TokenHash

    @pydantic.field_validator("role")
    @classmethod
    def check_role(cls, role: rules.Role) -> rules.Role:
        """Refuse callers, which belong to a member."""
        if role == rules.Role.CALLER:
            raise ValueError("a caller's token stands under its member")
        return role


class Member(Model):
    """A member; its weight beside the others, and its callers' tokens."""

    name: Name
    standing: int = pydantic.Field(default=1, ge=1, le=1_000)
    token_sha256: tuple[TokenHash, ...] = ()


class Service(Model):
    """A service and what holds for its tasks unless they say otherwise."""

    name: Name
    repeatable: bool = False
    deadline_ms: int = pydantic.Field(default=30_000, ge=1, le=86_400_000)
    retention_ms: int = pydantic.Field(default=900_000, ge=1_000, le=86_400_000)
    cpu_millis: Size = 0
    memory_mib: Size = 0
    run_ms: Size = 0


class Unit(Model):
    """A contract's unit: one of it is `factor` of its dimension."""

    name: Name
    dimension: Dimension
    factor: Factor = "1"


class Limit(Model):
    """An amount of a unit in each window; concurrent tasks have no window.

    `floor_percent` of it is divided among the entry VMs for good; the control
    VMs lease out the rest to those who need it, where the window is at
    least 240 s long.
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
    """A failure domain; `share` is its part of every limit beside the others."""

    name: Name
    entry_vms: tuple[Name, ...] = pydantic.Field(min_length=1, max_length=256)
    share: int = pydantic.Field(default=1, ge=0, le=1_000)


class Weights(Model):
    """What a millisecond of response time and a message cost, relatively."""

    response: int = pydantic.Field(default=1, ge=0, le=1_000)
    messages: int = pydantic.Field(default=1, ge=0, le=1_000)


class Bundle(Model):
    """Everything that operators decide."""

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


@functools.lru_cache(maxsize=PARSED_KEPT)
def parse_bundle(text: str) -> Bundle | tuple[BundleError, ...]:
    """Read a bundle, signed or not; return every error at once."""
    if len(text.encode()) > MAX_BUNDLE_BYTES:
        return (BundleError("", f"larger than {MAX_BUNDLE_BYTES} bytes"),)
    try:
        bundle = Bundle.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        return (BundleError("", str(error)),)
    except RecursionError:
        return (BundleError("", "nested too deeply"),)
    except pydantic.ValidationError as error:
        return tuple(build_error(fault) for fault in error.errors(include_url=False))
    return find_conflicts(bundle) or bundle


def build_error(fault: typing.Any) -> BundleError:
    """Return a pydantic error with its path as `members[2].name`."""
    path = ""
    for step in fault["loc"]:
        path += f"[{step}]" if isinstance(step, int) else f".{step}"
    return BundleError(path.lstrip("."), fault["msg"])


def find_conflicts(bundle: Bundle) -> tuple[BundleError, ...]:
    """Return what is wrong between the parts of a bundle."""
    errors: list[BundleError] = []
    errors += find_repeats(bundle)
    errors += find_dangling(bundle)
    errors += find_limit_faults(bundle)
    if bundle.signatures > len(bundle.operators):
        errors.append(BundleError("signatures", "more than there are operators"))
    if bundle.control_vms and len(bundle.control_vms) % 2 == 0:
        errors.append(BundleError("control_vms", "must be an odd number"))
    return tuple(errors)


def find_repeats(bundle: Bundle) -> list[BundleError]:
    """Return an error for each name, key or token that stands twice."""
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
        BundleError(field, f"{name} stands more than once")
        for field, names in lists.items()
        for name in sorted({name for name in names if names.count(name) > 1})
    ]


def find_dangling(bundle: Bundle) -> list[BundleError]:
    """Return an error for each name that is used and not defined."""
    members = {member.name for member in bundle.members}
    vms = {vm for domain in bundle.failure_domains for vm in domain.entry_vms}
    errors = [
        BundleError(f"contracts[{index}].member", f"{contract.member} is no member")
        for index, contract in enumerate(bundle.contracts)
        if contract.member not in members
    ]
    errors += [
        BundleError(f"control_vms[{index}]", f"{vm} is in no failure domain")
        for index, vm in enumerate(bundle.control_vms)
        if bundle.failure_domains and vm not in vms
    ]
    if bundle.contracts and not any(d.share for d in bundle.failure_domains):
        errors.append(BundleError("failure_domains", "contracts need one with a share"))
    return errors


def find_limit_faults(bundle: Bundle) -> list[BundleError]:
    """Return an error for each limit whose unit or window does not fit."""
    units = {unit.name: unit for unit in bundle.units}
    errors = []
    for index, contract in enumerate(bundle.contracts):
        for place, limit in enumerate(contract.limits):
            path = f"contracts[{index}].limits[{place}]"
            unit = units.get(limit.unit)
            if unit is None:
                errors.append(BundleError(f"{path}.unit", f"{limit.unit} is no unit"))
                continue
            has_window = unit.dimension != Dimension.CONCURRENT_TASKS
            if has_window != bool(limit.window_s):
                detail = "is needed" if has_window else "is not for concurrent tasks"
                errors.append(BundleError(f"{path}.window_s", detail))
    return errors
