"""Stand-ins and process control for the scripts of the second review.

Everything is plain Python: the platform's store, a proxy in front of it for each host,
runners, a small HTTP client, and the start and stop of hosts with the command of the
deploy file. All addresses are loopback addresses; hosts differ by address, since the
ports of a day are the same on all machines.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import time
from pathlib import Path
from urllib.parse import parse_qsl, unquote

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "caddies.example"
OBJECTS = "/damaskjunction/objects/"
STEP_S = 0.02

# Bounds of the small deployment ca-lima-fleet.
BOUNDS = {
    "SeedLagS": "3", "ReuseAfterS": "2", "ContactMs": "3000", "AckMs": "4000",
    "CatchUpS": "4.7", "DrainMs": "2000", "GraceS": "8", "LossSlackMs": "200",
    "ConfigMs": "2000", "RevertSlackMs": "250", "SkewMaxMs": "5000",
    "RecoverS": "12", "PassMs": "120", "AgainS": "0", "FinishS": "18",
    "StatusS": "120", "CancelMs": "3000", "SettleMs": "1000", "QuotaOver": "0.1",
    "ttl_max_s": "5",
}
MEMORY_MB = 300
CONTACT_S, DRAIN_S, CONFIG_S, CANCEL_S = 3.0, 2.0, 2.0, 3.0

now = time.monotonic


class Record:
    """Writes what was sent, answered and run into ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start_s = now()

    def __call__(self, text: str, at_s: float | None = None) -> None:
        """Write a line with the seconds since the start."""
        since_s = (now() if at_s is None else at_s) - self._start_s
        self._file.write(f"{since_s:9.3f}  {text}\n")
        self._file.flush()


# HTTP


class Head:
    """First line and headers of a message; the names of headers are in lower case."""

    def __init__(self, first: str, headers: dict[str, str]) -> None:
        self.first = first
        self.headers = headers


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the next head on a connection, None at its end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Head(first, {name.lower(): value.strip() for name, _, value in pairs})


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk of a body, empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Return a body with a length or in chunks."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b"".join(parts)
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


def message(first: str, headers: dict[str, str], body: bytes | None = b"") -> bytes:
    """Return a message; without a body (None) its headers have to tell the length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + (body or b"")


class Answer:
    """What a client got: status 0 without a head, ``is_whole`` if it was complete."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.error = ""


async def ask(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 6.0,
) -> Answer:
    """Send a request on a channel of its own and return what came."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            all_headers = {"Host": HOST_NAME, **headers}
            writer.write(message(f"{method} {target} HTTP/1.1", all_headers, body))
            head = await read_head(reader)
            if head is None:
                answer.error = "closed before a head"
                return answer
            answer.status = int(head.first.split()[1])
            answer.headers = head.headers
            answer.body = await read_body(reader, head)
            answer.is_whole = True
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        answer.error = repr(error)
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


# The platform's store


class Store:
    """The platform's store: objects by kind and name, conditional writes, watches."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self._events: list[tuple[int, str, bool, dict]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ("", 0)

    async def start(self, ip: str) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object's spec; return the revision."""
        return self._write(kind, name, spec, keep_status=True)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects[kind].pop(name)
        self.revision += 1
        self._announce(kind, True, stored)

    def _write(
        self, kind: str, name: str, spec: object, status: object = None,
        *, keep_status: bool = False,
    ) -> int:
        known = self.objects.setdefault(kind, {}).get(name)
        if keep_status and known is not None:
            status = known["Status"]
        if known is not None and (known["Spec"], known["Status"]) == (spec, status):
            return known["Metadata"]["Revision"]
        self.revision += 1
        first = self.revision if known is None else known["Metadata"]["CreateRev"]
        metadata = {"Name": name, "Revision": self.revision, "CreateRev": first,
                    "Finalizers": [], "Deleting": False}
        stored = {"Metadata": metadata, "Spec": spec, "Status": status}
        self.objects[kind][name] = stored
        self._announce(kind, False, stored)
        return self.revision

    def _announce(self, kind: str, is_removed: bool, stored: dict) -> None:
        self._events.append((self.revision, kind, is_removed, stored))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head)
                method, target, _ = head.first.split()
                status, document = await self._answer(method, target, body)
                data = b"" if document is None else json.dumps(document).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(message(f"HTTP/1.1 {status} X", headers, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def _answer(self, method: str, target: str, body: bytes):
        path, _, query_text = target.partition("?")
        query = dict(parse_qsl(query_text))
        kind, _, rest = path.removeprefix(OBJECTS).partition("/")
        name, _, part = rest.partition("/")
        name = unquote(name)
        objects = self.objects.setdefault(unquote(kind), {})
        known = objects.get(name)
        if method == "GET" and name:
            return (404, None) if known is None else (200, known)
        if method == "GET" and "Watch" in query:
            return 200, await self._watch(unquote(kind), query)
        if method == "GET":
            names = sorted(n for n in objects if n > query.get("After", ""))
            items = [objects[n] for n in names[:500]]
            return 200, {"Items": items, "HasMore": len(names) > 500,
                         "CurrentRev": self.revision}
        if method == "DELETE":
            if known is None:
                return 404, None
            self.remove(unquote(kind), name)
            return 200, known
        document = json.loads(body)
        if method == "POST":
            if known is not None:
                return 409, known
            self._write(unquote(kind), name, document["Spec"])
            return 200, objects[name]
        if known is None:
            return 404, None
        expected = document["Metadata"].get("Revision")
        if expected is not None and expected != known["Metadata"]["Revision"]:
            return 409, known
        if part == "status":
            self._write(unquote(kind), name, known["Spec"], document["Status"])
        else:
            self._write(unquote(kind), name, document["Spec"], known["Status"])
        return 200, objects[name]

    async def _watch(self, kind: str, query: dict[str, str]) -> dict:
        since, ends_s = int(query["Watch"]), now() + int(query["WaitMs"]) / 1000.0
        while True:
            events = [
                {"Removed": is_removed, "Object": stored}
                for revision, of_kind, is_removed, stored in self._events
                if of_kind == kind and revision > since
            ]
            if events or now() >= ends_s:
                return {"events": events, "CurrentRev": self.revision}
            changed = self._changed
            try:
                async with asyncio.timeout(ends_s - now()):
                    await changed.wait()
            except TimeoutError:
                pass


class Channel:
    """One connection of a host that a proxy passes on.

    ``call`` is the call whose answer is awaited on it, empty without one. Once it is
    silent, nothing that either end sends arrives. Keep-alive probes get no answer on
    such a channel, which a proxy can't show, since the kernel answers them. So the host
    sees its end break when the probes that it sets on channels to the store would have
    failed: ``KEEP_ALIVE_S`` after the last bytes that it got.
    """

    KEEP_ALIVE_S = 1.0 + 3 * 1.0  # first probe, and three of them without an answer

    def __init__(self) -> None:
        self.call = ""
        self.is_silent = False
        self.heard_at_s = now()


class Proxy:
    """The way from one host to an address; open channels on it can go silent."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self.channels: set[Channel] = set()
        self.address = ("", 0)
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = Channel()
        self.channels.add(channel)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            self.channels.discard(channel)
            writer.transport.abort()
            return
        copies = [
            asyncio.ensure_future(self._copy(channel, reader, far_writer, True)),
            asyncio.ensure_future(self._copy(channel, far_reader, writer, False)),
        ]
        while not channel.is_silent and not any(copy.done() for copy in copies):
            await asyncio.wait(copies, timeout=STEP_S,
                               return_when=asyncio.FIRST_COMPLETED)
        if channel.is_silent:
            breaks_at_s = channel.heard_at_s + Channel.KEEP_ALIVE_S
            await asyncio.sleep(max(0.0, breaks_at_s - now()))
        for copy in copies:
            copy.cancel()
        self.channels.discard(channel)
        writer.transport.abort()
        far_writer.transport.abort()

    async def _copy(
        self, channel: Channel, reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter, is_call: bool,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if channel.is_silent:
                    continue
                if is_call and data[:4] in (b"GET ", b"PUT ", b"POST", b"DELE"):
                    channel.call = data.split(b"\r\n", 1)[0].decode("latin-1")
                elif not is_call:
                    channel.call, channel.heard_at_s = "", now()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass


# Runners


class Runner:
    """A sound runner of a plain service; each request works for ``work_s`` seconds.

    ``arrivals`` holds (id, time, whether it ended) of each request that it has run.
    """

    def __init__(self, store: Store, name: str, service: str, zone: str,
                 record: Record, work_s: float = 0.15) -> None:
        self.name, self.service, self.zone = name, service, zone
        self._store, self._record, self._work_s = store, record, work_s
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task | None = None
        self.state, self.sequence = "ready", 0
        self.arrivals: list[tuple[str, float]] = []
        self.born_ms = int(time.time() * 1000)
        self.address = ("", 0)

    async def start(self, ip: str) -> None:
        """Listen at a free port and register."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._beat = asyncio.ensure_future(self._heartbeat())

    def write_entry(self) -> None:
        """Write the entry in the store; the return is the store's acknowledgement."""
        self.sequence += 1
        self._store.put("servers", self.name, {
            "Service": self.service, "Addr": "%s:%d" % self.address, "Zone": self.zone,
            "Version": "v1", "Slots": 8, "State": self.state, "WarmupMs": 0,
            "Stage": "mixed", "Models": [], "Sequence": self.sequence,
            "born": self.born_ms})

    async def _heartbeat(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(1.2)

    def stop(self) -> None:
        """End the process: nothing is answered any more."""
        if self._beat is not None:
            self._beat.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while head := await read_head(reader):
                await read_body(reader, head)
                await self._run(head, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _run(self, head: Head, writer: asyncio.StreamWriter) -> None:
        request_id = head.headers.get("x-request-id", "")
        expected = head.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            headers = {"X-Instance-Id": self.name, "X-Request-Id": request_id}
            writer.write(message("HTTP/1.1 421 Misdirected", headers))
            return
        if not request_id:
            writer.write(message("HTTP/1.1 200 OK", {"X-Instance-Id": self.name}))
            return
        self.arrivals.append((request_id, now()))
        self._record(f"runner {self.name} runs {request_id}")
        await asyncio.sleep(self._work_s)
        headers = {"X-Request-Id": request_id, "X-Response-Stamp": f"s.{request_id}"}
        writer.write(message("HTTP/1.1 200 OK", headers, b"done"))
        await writer.drain()


class Engine(Runner):
    """A sound runner that streams ``n_events`` events, one each ``gap_s`` seconds.

    ``runs`` holds (id, event after which it went on, time) of each run.
    """

    def __init__(self, *args: object, n_events: int = 20, gap_s: float = 0.1,
                 first_s: float = 0.05, **options: object) -> None:
        super().__init__(*args, **options)
        self.n_events, self.gap_s, self.first_s = n_events, gap_s, first_s
        self.n_running = 0

    async def _run(self, head: Head, writer: asyncio.StreamWriter) -> None:
        if head.first.split()[1] == "/damaskjunction/report":
            report = {"Stage": "mixed", "Models": [], "Busy": False, "Sequence": 1,
                      "Waiting": 0, "Running": self.n_running, "KvUsed": 0,
                      "KvTotal": 72000, "Handles": 0, "born": self.born_ms}
            headers = {"Content-Type": "application/json"}
            body = json.dumps(report).encode()
            writer.write(message("HTTP/1.1 200 OK", headers, body))
            return
        request_id = head.headers.get("x-request-id", "")
        expected = head.headers.get("x-expect-instance", self.name)
        if expected != self.name or not request_id:
            await super()._run(head, writer)
            return
        after = int(head.headers.get("last-event-id", "0"))
        self.arrivals.append((request_id, now()))
        self._record(f"runner {self.name} runs {request_id} from {after + 1}")
        headers = {"X-Request-Id": request_id, "X-Response-Stamp": f"s.{request_id}",
                   "Content-Type": "text/event-stream",
                   "Transfer-Encoding": "chunked"}
        self.n_running += 1
        try:
            writer.write(message("HTTP/1.1 200 OK", headers, None))
            await asyncio.sleep(self.first_s)
            for number in range(after + 1, self.n_events + 1):
                event = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.gap_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.n_running -= 1


def job(job_id: str, n_items: int, path: str) -> bytes:
    """Return a batch job; the ids of its items begin with its own."""
    headers = {"X-Model": "m", "X-Token-Usage": "540,400",
               "X-Prompt-Prefix": "9c2e41:300,5d07b8:240"}
    items = [{"Id": f"{job_id}-{number}", "Path": path, "Headers": headers,
              "Body": "q83vEjRWeJA=", "Tokens": 940} for number in range(n_items)]
    return json.dumps({"Items": items}).encode()


# Hosts


class Host:
    """A host of the system, started with the command of the deploy file."""

    def __init__(self, name: str, zone: str, ip: str, ports: list[int],
                 store: tuple[str, int], seeds: list[str], zones: list[str],
                 folder: Path) -> None:
        self.name, self.zone, self.ip, self.ports = name, zone, ip, ports
        self.front = (ip, ports[0])
        self.ready = (ip, ports[1])
        self._store, self._seeds, self._zones = store, seeds, zones
        self._folder = folder
        self.process: asyncio.subprocess.Process | None = None

    def _settings(self, bootstrap: bool) -> str:
        ip, ports = self.ip, self.ports
        lines = [
            f"NodeName={self.name}", "Role=host", "MachineClass=edge",
            "Serves=edge,control_plane,directory", f"Ip={ip}", f"Zone={self.zone}",
            "Region=lima", *(f"Zones.{zone}=lima" for zone in self._zones),
            f"Listen.Front={ip}:{ports[0]}", f"Listen.Ready={ip}:{ports[1]}",
            f"Listen.Control={ip}:{ports[2]}", f"Listen.Directory={ip}:{ports[3]}",
            f"PortRange={ports[4]},{ports[4]}",
            "Seeds=" + ",".join(f"{seed}:{ports[2]}" for seed in self._seeds),
            f"Bootstrap={'true' if bootstrap else 'false'}", "InTolerance=false",
            "Limits.CpuShare=0.537", "Limits.Cores=2", f"Limits.MemoryMb={MEMORY_MB}",
            "Limits.MaxFds=4100", "Limits.BandwidthMbps=1000.0", "Limits.DiskMb=0",
            "Discovery=platform", "Entry=directory", "HeartbeatMs=1200",
            "Contracts=base,drain,config,cost,recover,batch,stream,engine,platform",
            "FaultTolerance.Machines=1", "FaultTolerance.Zones=0",
            "FaultTolerance.Regions=0",
            *(f"Bounds.{key}={value}" for key, value in BOUNDS.items()),
            "Platform.Addr=%s:%d" % self._store, "Platform.form=objects",
            "Platform.WritesPerS=400", "Platform.ReadsPerS=2000",
            "Platform.HistoryS=20", "Platform.ValueBytes=1048576",
            "Platform.TtlMinMs=1000",
        ]
        return "\n".join(lines) + "\n"

    async def start(self, *, bootstrap: bool = True) -> None:
        """Start the process; its log goes into the temporary folder."""
        path = self._folder / f"{self.name}.conf"
        path.write_text(self._settings(bootstrap))
        environment = {
            "PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "DAMASKJUNCTION_SETTINGS": str(path),
        }
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *"python3 -S -m damaskjunction.gateway host".split(), cwd=ROOT,
            env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def send(self, number: int) -> None:
        """Send a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the host says that it serves."""
        target = "/damaskjunction/readiness"
        return (await ask(self.ready, "GET", target, {}, timeout_s=1.0)).status == 200


class Fleet:
    """A store, hosts in three zones and runners on loopback."""

    ZONES = ("lima-a", "lima-b", "lima-c")

    def __init__(self, record: Record, folder: Path) -> None:
        self.record, self.folder = record, folder
        self._net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.store = Store()
        self.hosts: list[Host] = []
        self.proxies: dict[str, Proxy] = {}
        self.runners: dict[str, Runner] = {}

    async def start(self, n_hosts: int, configuration: dict) -> None:
        """Start the store and the hosts, and wait until all serve."""
        await self.store.start(f"{self._net}.1")
        self.store.put("config", "main", configuration)
        ips = [f"{self._net}.{10 + number}" for number in range(n_hosts)]
        ports = free_ports(ips, 5)
        for number, ip in enumerate(ips):
            zone = self.ZONES[number % len(self.ZONES)]
            name = f"edge-{zone}-{number}"
            self.proxies[name] = Proxy(self.store.address)
            await self.proxies[name].start(f"{self._net}.2")
            self.hosts.append(Host(
                name, zone, ip, ports, self.proxies[name].address, ips[:3],
                list(self.ZONES), self.folder))
        for host in self.hosts:
            await host.start()

    async def add_runner(self, name: str, service: str, kind: type = Runner,
                         **options: object) -> Runner:
        """Start a runner."""
        zone = self.ZONES[len(self.runners) % len(self.ZONES)]
        runner = kind(self.store, name, service, zone, self.record, **options)
        self.runners[name] = runner
        await runner.start(f"{self._net}.{100 + len(self.runners)}")
        return runner

    async def wait_until_ready(self, timeout_s: float = 25.0) -> bool:
        """Wait until all hosts serve; return whether they do in time."""
        ends_s = now() + timeout_s
        while now() < ends_s:
            if all([await host.is_ready() for host in self.hosts]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def close(self) -> None:
        """End all processes that were started."""
        for host in self.hosts:
            host.send(signal.SIGCONT)
            host.send(signal.SIGKILL)
        for host in self.hosts:
            if host.process is not None:
                await host.process.wait()


def free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free at all addresses, for TCP and UDP."""
    found: list[int] = []
    while len(found) < count:
        port = random.randint(20000, 30000)
        if port not in found and all(is_free(ip, port) for ip in ips):
            found.append(port)
    return found


def is_free(ip: str, port: int) -> bool:
    """Return whether a port is free."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict:
    """Return a route of the manifest."""
    return {"Name": name, "Host": HOST_NAME, "PathPrefix": prefix, "Kind": kind,
            "TimeoutMs": 5000, "LatencyGoalMs": 300, "Priority": 0, "Service": service,
            "MaxAttempts": 1, **more}


def manifest(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a manifest."""
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"HeaderBytes": 16384, "BodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def plain_service(name: str) -> dict:
    """Return a service without engines."""
    return {"Name": name, "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1",
            "Tls": False}


def engine_service(name: str) -> dict:
    """Return a service of engines."""
    return {"Name": name, "HealthPath": "/health", "MaxConns": 370, "Protocol": "h1",
            "Tls": False, "Engine": {"Slots": 8, "KvCapacity": 72000,
                                     "KvTokenBytes": 163840, "BandwidthMbps": 1.5e6,
                                     "Models": [{"Name": "m"}]}}


def run(case, folder: Path) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if not run."""
    import tempfile

    async def main() -> int:
        record = Record(folder)
        with tempfile.TemporaryDirectory() as temporary:
            fleet = Fleet(record, Path(temporary))
            try:
                async with asyncio.timeout(110.0):
                    return await case(fleet, record)
            except Exception as error:  # a fault of the case is none of the system
                record(f"the case could not run: {error!r}")
                return 2
            finally:
                await fleet.close()

    async def run_all() -> None:
        code = await main()
        sys.stdout.flush()
        os._exit(code)  # connections of the stand-ins may still be open

    asyncio.run(run_all())
