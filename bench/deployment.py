"""Layout of a run: entry VMs, endpoints, members, services and network delays."""

from __future__ import annotations

import dataclasses
import random

CALLERS_PORT = 8080
OPERATORS_PORT = 8081
LINKS_PORT = 7000
ENDPOINT_PORT = 9000
PLATFORM_PORT = 9100
RELAYS_PORT = 9200
ENDPOINT_OCTET = 100
RELAY_OCTET = 150
PLATFORM_OCTET = 200
RELAYS_OCTET = 201
SLOTS_PER_ENDPOINT = 8
CONNECTIONS_PER_ENDPOINT = 64
MIN_SPEED = 1.0
MAX_SPEED = 4.0
CONTROL_VM_COUNT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVm:
    """One entry VM; `host` is the address for callers, operators and links."""

    name: str
    domain: str
    host: str
    has_disk: bool

    @property
    def callers(self) -> str:
        """Return the address for callers, endpoints and the platform."""
        return f"{self.host}:{CALLERS_PORT}"

    @property
    def operators(self) -> str:
        """Return the address for operators."""
        return f"{self.host}:{OPERATORS_PORT}"

    @property
    def links(self) -> str:
        """Return the address for the other entry VMs."""
        return f"{self.host}:{LINKS_PORT}"


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointSpec:
    """One fake endpoint; a task of `work_ms` takes `work_ms / speed` there."""

    name: str
    service: str
    domain: str
    worker: str
    host: str
    speed: float
    slots: int = SLOTS_PER_ENDPOINT
    connections: int = CONNECTIONS_PER_ENDPOINT
    port: int = ENDPOINT_PORT

    @property
    def capacity(self) -> float:
        """Return the milliseconds of work done in one millisecond."""
        return self.slots * self.speed


@dataclasses.dataclass(frozen=True, slots=True)
class MemberSpec:
    """One member, its callers' token and its limit on task starts, if any."""

    name: str
    token: str
    standing: int = 1
    task_starts: int = 0
    window_s: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One service of the deployment."""

    name: str
    repeatable: bool = False
    deadline_ms: int = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Everything that a run starts, on the addresses `127.{block}.x.y`."""

    name: str
    block: int
    domains: tuple[str, ...]
    vms: tuple[EntryVm, ...]
    endpoints: tuple[EndpointSpec, ...]
    members: tuple[MemberSpec, ...]
    services: tuple[ServiceSpec, ...]
    domain_delay_ms: float = 0.0
    client_delay_ms: float = 0.0

    @property
    def platform(self) -> str:
        """Return the fake platform's address."""
        return self.get_platform(0)

    def get_platform(self, index: int) -> str:
        """Return the platform address of one of the host processes."""
        return f"127.{self.block}.{PLATFORM_OCTET}.{index + 1}:{PLATFORM_PORT}"

    @property
    def relays(self) -> str:
        """Return the control address of the relays."""
        return f"127.{self.block}.{RELAYS_OCTET}.1:{RELAYS_PORT}"

    @property
    def capacity(self) -> float:
        """Return the milliseconds of work that all endpoints do in one millisecond."""
        return sum(endpoint.capacity for endpoint in self.endpoints)

    def get_vms(self, domain: str) -> tuple[EntryVm, ...]:
        """Return the entry VMs of a failure domain."""
        return tuple(vm for vm in self.vms if vm.domain == domain)

    def get_relay(self, source: EntryVm, target: EntryVm) -> str:
        """Return the relay address at which `source` reaches the links of `target`."""
        row = RELAY_OCTET + self.vms.index(source)
        column = 1 + self.vms.index(target)
        return f"127.{self.block}.{row}.{column}:{LINKS_PORT}"


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Sizes and names from which a deployment is built."""

    name: str
    domains: tuple[str, ...]
    vms: int
    endpoints: int
    members: tuple[str, ...]
    service: str
    domain_delay_ms: float = 0.0
    client_delay_ms: float = 0.0
    repeatable: bool = False
    seed: int = 1


DEMO = Shape(
    name="demo",
    domains=("latacunga", "ambato", "salcedo"),
    vms=6,
    endpoints=12,
    members=("haberdashers", "tailors", "order-desk"),
    service="order-desk",
)
COTOPAXI = Shape(
    name="cotopaxi",
    domains=("latacunga-1", "latacunga-2", "ambato-1", "ambato-2"),
    vms=8,
    endpoints=24,
    members=("haberdashers", "tailors", "weddings", "night-desk"),
    service="order-desk",
    domain_delay_ms=1.0,
    client_delay_ms=1.0,
)
HIELO = Shape(
    name="hielo",
    domains=("alajuela", "heredia", "cartago"),
    vms=9,
    endpoints=24,
    members=("depots", "bars", "hotels", "fishmongers"),
    service="despacho",
    domain_delay_ms=0.5,
    client_delay_ms=3.0,
)
SHAPES = {shape.name: shape for shape in (DEMO, COTOPAXI, HIELO)}


def build_deployment(shape: Shape, block: int) -> Deployment:
    """Return a deployment of a shape on the addresses of a block."""
    tokens = random.Random(f"{shape.name} {shape.seed}")
    members = tuple(
        MemberSpec(name, f"{name}-{tokens.getrandbits(64):x}") for name in shape.members
    )
    return Deployment(
        name=shape.name,
        block=block,
        domains=shape.domains,
        vms=build_vms(shape, block),
        endpoints=build_endpoints(shape, block),
        members=members,
        services=(ServiceSpec(shape.service, shape.repeatable),),
        domain_delay_ms=shape.domain_delay_ms,
        client_delay_ms=shape.client_delay_ms,
    )


def build_vms(shape: Shape, block: int) -> tuple[EntryVm, ...]:
    """Return entry VMs spread over the failure domains.

    The first `CONTROL_VM_COUNT` have a disk.
    """
    vms = []
    for index in range(shape.vms):
        domain_index, row = index % len(shape.domains), index // len(shape.domains)
        domain = shape.domains[domain_index]
        name = f"{domain}-vm{row + 1}"
        host = f"127.{block}.{domain_index + 1}.{row + 1}"
        vms.append(EntryVm(name, domain, host, index < CONTROL_VM_COUNT))
    return tuple(vms)


def build_endpoints(shape: Shape, block: int) -> tuple[EndpointSpec, ...]:
    """Return endpoints with shuffled speeds from `MIN_SPEED` to `MAX_SPEED`.

    They are spread over the failure domains.
    """
    speeds = [
        MIN_SPEED + (MAX_SPEED - MIN_SPEED) * index / max(1, shape.endpoints - 1)
        for index in range(shape.endpoints)
    ]
    random.Random(shape.seed).shuffle(speeds)
    endpoints = []
    for index, speed in enumerate(speeds):
        domain_index, row = index % len(shape.domains), index // len(shape.domains)
        domain = shape.domains[domain_index]
        endpoints.append(
            EndpointSpec(
                name=f"{domain}-e{row + 1}",
                service=shape.service,
                domain=domain,
                worker=f"{domain}-w{row + 1}",
                host=f"127.{block}.{ENDPOINT_OCTET + domain_index + 1}.{row + 1}",
                speed=speed,
            )
        )
    return tuple(endpoints)
