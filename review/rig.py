"""Stand-ins of clients, model runners and the platform's store, and a fleet of hosts.

The hosts are the project's own programs, started with the command of the deploy file as
separate processes on loopback addresses. All stand-ins run in the process of a script
and follow the published protocol; only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "review.example"
DRAIN_MS = 2000
GRACE_S = 8


class Record:
    """Writes what is sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._t0 = time.monotonic()

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - self._t0:8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers, None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a request."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head_bytes(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} x", *(f"{k}: {v}" for k, v in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer_bytes(status: int, body: bytes, headers: dict[str, str] | None = None) -> bytes:
    length = {"Content-Length": str(len(body))}
    return head_bytes(status, {**(headers or {}), **length}) + body


class Server:
    """A server whose connections are handled one request at a time by ``serve``."""

    def __init__(self) -> None:
        self._servers: dict[tuple[str, int], tuple[asyncio.Server, str]] = {}
        self.writers: dict[asyncio.StreamWriter, str] = {}

    async def listen(self, ip: str, port: int = 0, label: str = "") -> tuple[str, int]:
        async def connected(r, w):
            self.writers[w] = label
            try:
                await self._connection(r, w, label)
            except (OSError, asyncio.IncompleteReadError, ValueError):
                pass
            finally:
                self.writers.pop(w, None)
                w.close()

        server = await asyncio.start_server(connected, ip, port, limit=2**23)
        address = server.sockets[0].getsockname()[:2]
        self._servers[address] = (server, label)
        return address

    async def stop_listening(self) -> None:
        """Accept no more channels; the open ones go on."""
        for server, _ in self._servers.values():
            server.close()
        await asyncio.sleep(0)

    async def listen_again(self) -> None:
        """Accept channels again at the same addresses."""
        for (ip, port), (_, label) in list(self._servers.items()):
            await self.listen(ip, port, label)

    def reset_host(self, label: str) -> None:
        """Reset the channels of one machine."""
        for writer, owner in list(self.writers.items()):
            if owner == label:
                writer.transport.abort()

    def reset_all(self) -> None:
        """Reset all channels."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connection(self, reader, writer, label: str) -> None:
        raise NotImplementedError

    def close(self) -> None:
        for server, _ in self._servers.values():
            server.close()
        self.reset_all()


class Store(Server):
    """The platform's store: objects by kind and name, with revisions and watches.

    ``fault`` is called with the label of the machine, the method, kind, name and whether
    it is a watch, before a call is done. It returns None, ("status", n), ("reset",),
    or ("silent",). ``done`` is called after a write, before its answer. If
    ``loses_answer`` returns True, an answer is lost, and the channel with it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.revision = 10
        self.objects: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()
        self._waiting: list[tuple[str, str, asyncio.StreamReader]] = []
        self.fault = lambda *call: None
        self.done = lambda *call: None
        self.loses_answer = lambda host, kind, is_watch, document: False

    def watchers(self, kind: str) -> list[str]:
        """Return the machines that wait for changes of a kind."""
        return sorted(label for label, watched, reader in self._waiting
                      if watched == kind and not (reader.at_eof() or reader.exception()))

    def put(self, kind: str, name: str, spec=None, status=None) -> dict:
        old = self.objects.setdefault(kind, {}).get(name)
        self.revision += 1
        stored = {
            "Metadata": {
                "Name": name,
                "Revision": self.revision,
                "CreateRev": old["Metadata"]["CreateRev"] if old else self.revision,
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": spec if spec is not None else (old or {}).get("Spec"),
            "Status": status if status is not None else (old or {}).get("Status"),
        }
        self.objects[kind][name] = stored
        self._event(kind, stored, False)
        return stored

    def remove(self, kind: str, name: str) -> None:
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._event(kind, stored, True)

    def _event(self, kind, stored, removed) -> None:
        self.events.append((self.revision, kind, stored, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _connection(self, reader, writer, label: str) -> None:
        while (head := await read_head(reader)) is not None:
            first, headers = head
            body = await read_body(reader, headers)
            method, target, _ = first.split(" ")
            parts = urlsplit(target)
            query = dict(parse_qsl(parts.query))
            path = parts.path.removeprefix("/damaskjunction/objects/").split("/")
            kind, name = unquote(path[0]), unquote(path[1]) if len(path) > 1 else ""
            sub = path[2] if len(path) > 2 else ""
            fault = self.fault(label, method, kind, name, "Watch" in query)
            if fault and fault[0] == "status":
                writer.write(answer_bytes(fault[1], b""))
                continue
            if fault and fault[0] == "reset":
                writer.transport.abort()
                return
            if fault and fault[0] == "silent":
                await asyncio.sleep(3600)
            await asyncio.sleep(0.004)
            call = (label, kind if "Watch" in query else "", reader)
            self._waiting.append(call)
            try:
                status, document = await self._do(method, kind, name, sub, query, body)
            finally:
                self._waiting.remove(call)
            if method == "GET" and (reader.at_eof() or reader.exception()):
                return  # the watch was ended by its host meanwhile
            if method != "GET":
                self.done(label, method, kind, name, status)
            if self.loses_answer(label, kind, "Watch" in query, document):
                await asyncio.sleep(3600)  # the channel returns nothing further
            data = b"" if document is None else json.dumps(document).encode()
            writer.write(answer_bytes(status, data, {"Content-Type": "application/json"}))
            await writer.drain()

    async def _do(self, method, kind, name, sub, query, body):
        objects = self.objects.setdefault(kind, {})
        if method == "GET":
            if name:
                stored = objects.get(name)
                return (404, None) if stored is None else (200, stored)
            if "Watch" in query:
                return await self._watch(kind, query)
            names = sorted(n for n in objects if n > query.get("After", ""))
            page = names[:500]
            return 200, {
                "Items": [objects[n] for n in page],
                "HasMore": len(names) > len(page),
                "CurrentRev": self.revision,
            }
        stored = objects.get(name)
        if method == "DELETE":
            if stored is None:
                return 404, None
            self.remove(kind, name)
            return 200, stored
        document = json.loads(body)
        if method == "POST":
            if stored is not None:
                return 409, stored
            return 200, self.put(kind, name, document["Spec"])
        if stored is None:
            return 404, None
        expected = document.get("Metadata", {}).get("Revision")
        if expected is not None and expected != stored["Metadata"]["Revision"]:
            return 409, stored
        if sub == "status":
            if stored["Status"] == document["Status"]:
                return 200, stored
            return 200, self.put(kind, name, status=document["Status"])
        if stored["Spec"] == document["Spec"]:
            return 200, stored
        return 200, self.put(kind, name, spec=document["Spec"])

    async def _watch(self, kind, query):
        since, end = int(query["Watch"]), time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            changed = self._changed
            found = [e for e in self.events if e[1] == kind and e[0] > since]
            left = end - time.monotonic()
            if found or left <= 0:
                events = [{"Object": e[2], "Removed": e[3]} for e in found]
                return 200, {"events": events, "CurrentRev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass


class Runner(Server):
    """A sound runner: of streams if it makes ``n_events``, else of plain answers.

    It drops a request when its channel closes. ``runs`` lists what began to run:
    [time, request id, path, Last-Event-Id, end], where the end is "" while it works.
    """

    def __init__(self, runner_id, service, *, n_events=0, gap_s=0.03, slots=8, work_s=0.05):
        super().__init__()
        self.runner_id, self.service = runner_id, service
        self.n_events, self.gap_s, self.slots, self.work_s = n_events, gap_s, slots, work_s
        self.runs: list[list] = []
        self.n_running = 0
        self.queue: list[asyncio.Future] = []
        self.n_queue = 24
        self.born = int(time.time() * 1000)
        self.address = ("", 0)
        self.on_run = lambda run: None

    async def start(self, store: Store, ip="127.0.0.1") -> None:
        self.address = await self.listen(ip)
        self.register(store)

    def register(self, store: Store, state="ready") -> None:
        store.put("servers", self.runner_id, {
            "Service": self.service, "Addr": "%s:%d" % self.address, "Zone": "z1",
            "Version": 1, "Slots": self.slots, "State": state, "WarmupMs": 0,
            "Sequence": 0, "born": self.born})

    async def _connection(self, reader, writer, label) -> None:
        while (head := await read_head(reader)) is not None:
            first, headers = head
            body = await read_body(reader, headers)
            method, target, _ = first.split(" ")
            if target == "/damaskjunction/report":
                report = {"Stage": "mixed", "Models": [], "Busy": False, "Sequence": 0,
                          "Waiting": len(self.queue), "Running": self.n_running, "KvUsed": 0,
                          "KvTotal": 72000, "Handles": 0, "born": self.born}
                writer.write(answer_bytes(200, json.dumps(report).encode(),
                                          {"X-Instance-Id": self.runner_id}))
                continue
            request_id = headers.get("x-request-id", "")
            echo = {"X-Request-Id": request_id}
            expected = headers.get("x-expect-instance", self.runner_id)
            if expected != self.runner_id:
                writer.write(answer_bytes(421, b"", {**echo, "X-Not-Run": "1"}))
                continue
            if self.n_running >= self.slots and len(self.queue) >= self.n_queue:
                writer.write(answer_bytes(503, b"", {**echo, "X-Not-Run": "1"}))
                continue
            work = asyncio.ensure_future(
                self._work(writer, method, target, headers, body, request_id, echo))
            gone = asyncio.ensure_future(reader.read(1))
            await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()  # the channel has closed
                await asyncio.wait((work,))
                return
            gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)
            if work.exception():
                raise work.exception()

    async def _work(self, writer, method, target, headers, body, request_id, echo):
        if self.n_running >= self.slots:
            turn = asyncio.get_running_loop().create_future()
            self.queue.append(turn)
            try:
                await turn
            except asyncio.CancelledError:
                if turn in self.queue:
                    self.queue.remove(turn)
                else:
                    self._next()
                raise
        else:
            self.n_running += 1
        after = headers.get("last-event-id", "")
        run = [time.monotonic(), request_id, target, after, ""]
        self.runs.append(run)
        self.on_run(run)
        try:
            stamp = {**echo, "X-Response-Stamp": f"stamp-{request_id}"}
            if not self.n_events:
                await asyncio.sleep(self.work_s)
                writer.write(answer_bytes(200, request_id.encode(), stamp))
                await writer.drain()
            else:
                await self._stream(writer, stamp, int(after or 0), request_id)
            run[4] = "done"
        finally:
            run[4] = run[4] or "dropped"
            run.append(time.monotonic())
            self._next()

    async def _stream(self, writer, stamp, after, request_id):
        kind = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(head_bytes(200, {**stamp, **kind}))
        for number in range(after + 1, self.n_events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: {self.text(request_id, number)}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def text(self, request_id: str, number: int) -> str:
        """Return the data of an event."""
        return f"{request_id}/{number}"

    def _next(self) -> None:
        while self.queue:
            turn = self.queue.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.n_running -= 1


def route(name, prefix, kind, service, **more):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": kind,
            "Service": service, "TimeoutMs": 5000, "LatencyGoalMs": 300,
            "MaxAttempts": 1, "Priority": 0, **more}


def manifest(version, routes, engines=("llm",), plain=("api",)):
    services = [{"Name": n, "HealthPath": "/health", "MaxConns": 370,
                 "Engine": {"Slots": 8, "KvCapacity": 72000}} for n in engines]
    services += [{"Name": n, "HealthPath": "/health", "MaxConns": 110} for n in plain]
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"HeaderBytes": 16384, "BodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


class Fleet:
    """Hosts as processes of the deploy file, with one store address for each."""

    def __init__(self, record, n_hosts: int) -> None:
        self.record = record
        self.store = Store()
        self.names = [f"edge-{i}" for i in range(n_hosts)]
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._folder = tempfile.TemporaryDirectory()
        pid = os.getpid()
        self._prefix = f"127.{20 + pid % 200}.{pid // 200 % 250}"
        self.ports = self._free_ports()
        self._store_by_host = {}
        self.runners: list[Runner] = []

    def _free_ports(self) -> dict[str, int]:
        """Return ports that are free on the addresses of all hosts, as on a day."""
        while True:
            first = random.randrange(20000, 30000, 50)
            try:
                for port in range(first, first + 30):
                    for name in self.names:
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((self.ip(name), port))
            except OSError:
                continue
            names = ("front", "ready", "directory", "control", "peer")
            return {name: first + number for number, name in enumerate(names)}

    def ip(self, name) -> str:
        return f"{self._prefix}.{10 + self.names.index(name)}"

    async def start(self) -> None:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["host"]
        self._command = role["run"].split()
        if not (ROOT / "target/deps/damaskjunction").exists():
            print("target/deps is missing: run the build of the deploy file")
            raise SystemExit(2)
        for name in self.names:
            self._store_by_host[name] = await self.store.listen("127.0.0.1", 0, name)
        for name in self.names:
            await self.start_host(name)
        for name in self.names:
            await self.wait_ready(name)
        self.record(f"{len(self.names)} hosts are ready")

    def settings(self, name) -> str:
        ip = self.ip(name)
        seeds = ",".join(f"{self.ip(n)}:{self.ports['control']}" for n in self.names[:3])
        lines = {
            "NodeName": name, "Role": "host", "MachineClass": "edge",
            "Serves": "edge,control_plane,directory", "Ip": ip, "Zone": "z1",
            "Region": "r1", "Zones.z1": "r1",
            "Listen.Front": f"{ip}:{self.ports['front']}",
            "Listen.Ready": f"{ip}:{self.ports['ready']}",
            "Listen.Control": f"{ip}:{self.ports['control']}",
            "Listen.Directory": f"{ip}:{self.ports['directory']}",
            "PortRange": f"{self.ports['peer']},{self.ports['peer'] + 15}",
            "Seeds": seeds, "Bootstrap": "true", "InTolerance": "true",
            "Limits.CpuShare": 0.537, "Limits.Cores": 2, "Limits.MemoryMb": 300,
            "Limits.MaxFds": 4100, "Limits.BandwidthMbps": 1000.0, "Limits.DiskMb": 0,
            "Discovery": "platform", "Entry": "directory", "HeartbeatMs": 1200,
            "Contracts": "base,drain,config,cost,recover,batch,stream,engine,platform",
            "Bounds.SeedLagS": 3, "Bounds.ReuseAfterS": 2, "Bounds.ContactMs": 3000,
            "Bounds.AckMs": 4000, "Bounds.DrainMs": DRAIN_MS, "Bounds.GraceS": GRACE_S,
            "Bounds.ConfigMs": 2000, "Bounds.SkewMaxMs": 5000, "Bounds.StatusS": 120,
            "Platform.Addr": "%s:%d" % self._store_by_host[name],
            "Platform.form": "objects", "Platform.WritesPerS": 400,
            "Platform.ReadsPerS": 2000, "Platform.HistoryS": 20,
        }
        return "".join(f"{k}={v}\n" for k, v in lines.items())

    async def start_host(self, name) -> None:
        path = Path(self._folder.name) / f"{name}.conf"
        path.write_text(self.settings(name))
        log = (Path(self._folder.name) / f"{name}.log").open("ab")
        command = [sys.executable if w == "python3" else w for w in self._command]
        keep = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.processes[name] = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            env={**keep, "PYTHONPATH": str(ROOT / "target/deps"),
                 "PYTHONDONTWRITEBYTECODE": "1", "DAMASKJUNCTION_SETTINGS": str(path)})
        log.close()

    def log(self, name) -> str:
        return (Path(self._folder.name) / f"{name}.log").read_text()

    async def wait_ready(self, name, timeout_s=20.0) -> None:
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            status, _, _ = await self.call(name, "GET", "/damaskjunction/readiness",
                                           port="ready", timeout_s=1.0)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        print(f"{name} is not ready")
        raise SystemExit(2)

    async def connect(self, name, port="front"):
        return await asyncio.open_connection(self.ip(name), self.ports[port], limit=2**23)

    async def call(self, name, method, target, headers=None, body=b"", port="front",
                   timeout_s=5.0):
        """Return status, headers and body; status 0 if there is no complete answer."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await self.connect(name, port)
                try:
                    writer.write(request_bytes(method, target, headers, body))
                    head = await read_head(reader)
                    if head is None:
                        return 0, {}, b""
                    status = int(head[0].split(" ")[1])
                    return status, head[1], await read_body(reader, head[1])
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, {}, b""

    async def close(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    try:
                        process.send_signal(number)
                    except ProcessLookupError:
                        pass
                await process.wait()
        for runner in self.runners:
            runner.close()
        self.store.close()
        self._folder.cleanup()


def request_bytes(method, target, headers=None, body=b"") -> bytes:
    lines = {"Host": HOST, "Content-Length": str(len(body)), **(headers or {})}
    text = "".join(f"{k}: {v}\r\n" for k, v in lines.items())
    return f"{method} {target} HTTP/1.1\r\n{text}\r\n".encode("latin-1") + body


def job_bytes(job_id: str, n_items: int, path: str, infix: str = "-") -> bytes:
    items = [{"Id": f"{job_id}{infix}{i}", "Path": path,
              "Headers": {"X-Model": "m", "X-Token-Usage": "350,247",
                          "X-Prompt-Prefix": f"a1:100,{i:x}:250"},
              "Body": base64.b64encode(b"item").decode(), "Tokens": 597}
             for i in range(n_items)]
    return json.dumps({"Items": items}).encode()


def main(case, folder: str) -> None:
    """Run ``case(record, is_troubled)``, which returns whether the rule held."""
    record = Record(Path(folder))
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record(f"with{'' if is_troubled else 'out'} the disruption")

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        # The case ends its processes also when its time is up.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await case(record, is_troubled)

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        record(f"the case could not run: {error!r}")
        raise SystemExit(2) from None
    record("the rule held" if held else "the rule was BROKEN")
    raise SystemExit(0 if held else 1)
