"""The project's own processes, started with the commands of the deploy file."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
import typing

from stand_ins import http, record

ROOT = pathlib.Path(__file__).resolve().parents[2]
CONFIG = "/knapweedbeam/config"
RESTART_DELAY_S = 0.3
READY_TIMEOUT_S = 30.0
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "recoveryS": 12,
    "holdMaxMs": 1000,
    "stopMs": 50,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remoteFactor": 3,
    "checkpointIntervalS": 2,
    "restoreMs": 600,
    "noticeMs": 4500,
    "migrateS": 1.5,
    "maintenanceS": 2,
    "fencingEnforced": True,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "rateMs": 100,
    "interferenceMs": 4000,
    "retryDelayMs": 1300,
}


class CannotRunError(Exception):
    """The case cannot be played on this machine."""


def build_manifest(max_attempts: int = 4) -> dict[str, typing.Any]:
    """Return a manifest with one route, /q/ on h.example, to the service `desk`."""
    route = {
        "name": "r-1",
        "host": "h.example",
        "pathPrefix": "/q/",
        "kind": "non_idempotent",
        "timeoutMs": 1500,
        "targetRuntimeMs": 60,
        "priority": 0,
        "service": "desk",
        "maxAttempts": max_attempts,
        "slackFactor": 1.6,
    }
    service = {
        "name": "desk",
        "healthPath": "/healthz",
        "maxConns": 64,
        "protocol": "h1",
        "tls": False,
        "enforcesCapacity": False,
        "standby": False,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"version": 3, "routes": [route], "services": [service], "limits": limits}


def find_network() -> str:
    """Return the first three bytes of a loopback network that nobody listens on."""
    return f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"


def find_port(host: str) -> int:
    """Return a free TCP port of a host."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


@dataclasses.dataclass
class Process:
    """One process of the project, signalled by its own process id only."""

    name: str
    role: str
    host: str
    content: dict[str, typing.Any]
    folder: pathlib.Path
    child: subprocess.Popen[bytes] | None = None
    is_wanted: bool = True

    def start(self, command: list[str]) -> None:
        """Start the process with its settings; JSON is also YAML."""
        settings = self.folder / f"{self.name}.yaml"
        settings.write_text(json.dumps(self.content))
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["KNAPWEEDBEAM_CONFIG"] = str(settings)
        with (self.folder / f"{self.name}.log").open("ab") as output:
            self.child = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=output, stderr=output
            )
        self.content["bootstrap"] = False

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.child is not None and self.child.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.child is not None and self.is_running():
            self.child.send_signal(number)

    def end(self) -> None:
        """Kill the process, also if it is stopped."""
        self.is_wanted = False
        self.send(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()


class Deployment:
    """Core and entry processes, each with a loopback address of its own."""

    def __init__(self, rec: record.Record, cores: int = 3, entries: int = 2) -> None:
        self.record = rec
        self.network = find_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            role["on"]: role["run"].split() for role in deploy["roles"].values()
        }
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError(
                "target/deps is missing: run the build of the deploy file"
            )
        hosts = {f"c{n + 1}": f"{self.network}.{11 + n}" for n in range(cores)}
        hosts |= {f"e{n + 1}": f"{self.network}.{41 + n}" for n in range(entries)}
        self.port = find_port(hosts["c1"])
        self.ready_port = find_port(hosts["c1"])
        self.link_port = find_port(hosts["c1"])
        self.cores = [name for name in hosts if name.startswith("c")]
        self.entries = [name for name in hosts if name.startswith("e")]
        self.hosts = hosts
        self.processes = {name: self.build(name) for name in hosts}
        self.restarter: asyncio.Task[None] | None = None
        self.restarts: set[asyncio.Task[None]] = set()

    def build(self, name: str) -> Process:
        """Return one process with its settings."""
        host = self.hosts[name]
        is_core = name.startswith("c")
        role = "core" if is_core else "edge"
        addresses = (
            {"controlPlane": f"{host}:{self.port}"}
            if is_core
            else {
                "frontend": f"{host}:{self.port}",
                "readiness": f"{host}:{self.ready_port}",
            }
        )
        content: dict[str, typing.Any] = {
            "nodeName": name,
            "role": "control" if is_core else "entry",
            "machineClass": role,
            "serves": ["control" if is_core else "edge"],
            "ip": host,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "bindAddrs": addresses,
            "internalPortRange": [self.link_port, self.link_port],
            "seedAddrs": [self.get_address(core) for core in self.cores[:3]],
            "bootstrap": True,
            "faultCounted": is_core,
            "dataDir": str(self.folder / f"{name}.data") if is_core else None,
            "heartbeatMs": 1500,
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "controlMode": "invoke",
        }
        if is_core:
            pathlib.Path(content["dataDir"]).mkdir()
        return Process(name, role, host, content, self.folder)

    def get_address(self, name: str) -> str:
        """Return the address where a process is called from outside."""
        return f"{self.hosts[name]}:{self.port}"

    def list_control(self) -> list[str]:
        """Return the addresses that serve control."""
        return [self.get_address(name) for name in self.cores]

    def find_name(self, address: str) -> str:
        """Return the name of the process with an address, empty for none."""
        host = address.partition(":")[0]
        return next((name for name, own in self.hosts.items() if own == host), "")

    def start(self) -> None:
        """Start all processes."""
        for process in self.processes.values():
            process.start(self.commands[process.role])
            self.record.add("start", process=process.name)
        self.restarter = asyncio.create_task(self.restart_forever())

    async def restart_forever(self) -> None:
        """Start each process again shortly after its end."""
        while True:
            await asyncio.sleep(0.05)
            for process in self.processes.values():
                if process.is_wanted and not process.is_running():
                    self.record.add("ended", process=process.name)
                    process.is_wanted = False
                    self.restarts.add(asyncio.create_task(self.restart(process)))

    async def restart(self, process: Process) -> None:
        """Start one process again."""
        await asyncio.sleep(RESTART_DELAY_S)
        process.start(self.commands[process.role])
        process.is_wanted = True
        self.record.add("restart", process=process.name)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.record.add("signal", process=name, signal=number.name)
        self.processes[name].send(number)

    async def put_manifest(self, manifest: dict[str, typing.Any]) -> None:
        """Send a manifest until it is acknowledged."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                for address in self.list_control():
                    if await self.put_manifest_at(address, manifest):
                        self.record.add("manifest", version=manifest["version"])
                        return
                await asyncio.sleep(0.2)

    async def put_manifest_at(
        self, address: str, manifest: dict[str, typing.Any]
    ) -> bool:
        """Send a manifest to one process, following up to two redirects."""
        for _ in range(3):
            reply = await http.call(address, "PUT", CONFIG, manifest)
            if reply.status != 307:
                return reply.status == 200
            address = reply.headers["location"].split("/")[2]
        return False

    async def wait_ready(self) -> None:
        """Wait until each entry process reports itself ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for name in self.entries:
                while not await self.is_ready(name):
                    await asyncio.sleep(0.1)

    async def is_ready(self, name: str) -> bool:
        """Return whether an entry process reports itself ready."""
        address = f"{self.hosts[name]}:{self.ready_port}"
        reply = await http.call(address, "GET", "/knapweedbeam/readyz", timeout_s=0.5)
        return reply.status == 200

    async def find_log_leader(self) -> str:
        """Return the core process that answers reads of the manifest itself."""
        for name in self.cores:
            reply = await http.call(self.get_address(name), "GET", CONFIG)
            if reply.status == 200:
                return name
        return ""

    def close(self) -> None:
        """End all processes and remove their files."""
        if self.restarter is not None:
            self.restarter.cancel()
        for restart in self.restarts:
            restart.cancel()
        for process in self.processes.values():
            process.end()
        shutil.rmtree(self.folder, ignore_errors=True)
