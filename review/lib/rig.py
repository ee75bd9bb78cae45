"""Stand-ins and helpers for the cases of the review: a discovery service, servers, clients, and the programs as processes.

Everything is on 127.0.0.1, with free ports and a temporary folder; nothing but Python's standard library is used.
"""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


class CannotRun(Exception):
    """The case could not be run; this says nothing about the rule."""


def now():
    """Seconds since the start of the case."""
    return time.monotonic() - START


class Record:
    """The file `record.txt` of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.line(f"record of {os.path.basename(folder)}, TROUBLE={'1' if TROUBLE else '0'}")

    def line(self, text):
        self.file.write(f"{now():9.4f} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def free_udp_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def deploy_run():
    """The command `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(r'^run = "([^"]*)"', file.read(), re.MULTILINE)
    if found is None:
        raise CannotRun("the deploy file has no command `run`")
    return found.group(1)


class Processes:
    """The processes of a case. Each has a group of its own, and all are ended at the end."""

    def __init__(self, record, folder):
        self.record, self.folder, self.all = record, folder, []

    def start(self, name, command, env=None, stdout=None):
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        merged = {key: value for key, value in os.environ.items() if not key.startswith(("BALANCER_", "GLENWOOD_"))}
        merged.update(env or {})
        try:
            process = subprocess.Popen(command, cwd=ROOT, env=merged, stdin=subprocess.DEVNULL, stdout=stdout or log,
                                       stderr=log, start_new_session=True)
        except OSError as error:
            raise CannotRun(f"{name}: {error}") from error
        self.all.append(process)
        self.record.line(f"process {name} started: pid {process.pid}")
        return process

    def node(self, name, config, operator=None):
        """Starts a node with the command of the deploy file, and its own `$TMPDIR`."""
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        tmp = os.path.join(self.folder, f"tmp-{name}")
        os.makedirs(tmp, exist_ok=True)
        env = {"BALANCER_CONFIG": path, "BALANCER_NAME": name, "BALANCER_LISTEN": config["listen"],
               "BALANCER_DISCOVERY": config["discovery"], "TMPDIR": tmp}
        if operator is not None:
            operator_path = os.path.join(self.folder, f"{name}.toml")
            with open(operator_path, "w", encoding="utf-8") as file:
                file.write(operator)
            env["GLENWOOD_OPERATOR"] = operator_path
        return self.start(name, ["/bin/sh", "-c", deploy_run()], env)

    def log(self, name):
        with open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def end_all(self):
        for process in self.all:
            if process.poll() is None:
                try:
                    os.killpg(process.pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass
        for process in self.all:
            process.wait()


# ---- HTTP/1.1 ----


async def read_message(reader):
    """Reads one message with a Content-Length; returns its first line, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            headers[key.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0].strip() or b"0", 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += data[:-2]
    else:
        try:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return None
    return lines[0], headers, body


def response(status, body=b"", headers=()):
    reason = {200: "OK", 500: "Internal Server Error", 503: "Service Unavailable", 404: "Not Found",
              400: "Bad Request"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"] + [f"{k}: {v}" for k, v in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Request:
    """A request as a server got it: whole, at the time of its last byte."""

    def __init__(self, line, headers, body):
        self.method, self.path, _ = line.split(" ", 2)
        self.headers, self.body, self.at = headers, body, now()
        self.txn, self.key = headers.get("x-txn"), headers.get("idempotency-key")


class Server:
    """A server that follows the protocol page. `serve(server, request, writer)` answers one request."""

    def __init__(self, name, serve):
        self.name, self.serve, self.address, self.draining = name, serve, None, False
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]
        return self

    async def connection(self, reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                request = Request(*message)
                if request.path == "/health":
                    writer.write(response(503 if self.draining else 200))
                elif request.txn is None:
                    writer.write(response(404))
                else:
                    await self.serve(self, request, writer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def reset(writer):
    """Resets a connection."""
    import struct
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Discovery:
    """The list: whole, and as a watch."""

    def __init__(self):
        self.hosts, self.seq, self.changes, self.address, self.listener = {}, 1, [], None, None
        self.changed = asyncio.Event()

    async def start(self):
        self.listener = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]
        return self

    def put(self, host, dial, block=1, site="a", health="active", share=1.0, born_ms=0, machine="m"):
        entry = {"host": host, "dial": dial, "site": site, "class": machine, "block": block, "health": health,
                 "share": share, "born_ms": born_ms}
        self.seq += 1
        self.hosts[host] = entry
        if health == "left":
            del self.hosts[host]
        self.changes.append((self.seq, entry))
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    async def connection(self, reader, writer):
        try:
            message = await read_message(reader)
            if message is None:
                return
            target = message[0].split(" ")[1]
            if "watch=1" not in target:
                writer.write(response(200, json.dumps(self.whole()).encode()))
                await writer.drain()
                return
            start = int(target.split("from=")[1].split("&")[0])
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            first = True
            while True:
                changed = self.changed
                news = [entry for seq, entry in self.changes if seq > start]
                if start > self.seq or (first and start < self.seq and not news):
                    line = json.dumps(self.whole()).encode()
                elif news:
                    line = json.dumps({"seq": self.seq, "whole": False, "hosts": news}).encode()
                else:
                    line = b""
                start, first = self.seq, False
                line += b"\n"
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                try:
                    await asyncio.wait_for(changed.wait(), 2.0)
                except asyncio.TimeoutError:
                    pass
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Client:
    """A client: keeps one connection to a node, and sends one request at a time on it."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.host, self.port, self.reader, self.writer = host, int(port), None, None

    async def connect(self):
        if self.writer is None or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
            self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def send(self, method, path, txn, remaining_ms, key=None, body=b"", headers=()):
        await self.connect()
        lines = [f"{method} {path} HTTP/1.1", "Host: service.internal", f"X-Txn: {txn}", f"X-Remaining-Ms: {remaining_ms}"]
        if key is not None:
            lines.append(f"Idempotency-Key: {key}")
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        lines += [f"{k}: {v}" for k, v in headers]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()

    async def answer(self, timeout):
        """The status and body of the answer; None if the connection ended or nothing came in time."""
        try:
            message = await asyncio.wait_for(read_message(self.reader), timeout)
        except asyncio.TimeoutError:
            message = None
        if message is None:
            self.close()
            return None
        line, headers, body = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), body

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


async def wait_ready(address, within=30.0):
    """Waits until `GET /ready` at a node says 200."""
    host, _, port = address.rpartition(":")
    end = now() + within
    while now() < end:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
            if message is not None and " 200" in message[0]:
                return
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.05)
    raise CannotRun(f"the node at {address} is not ready")


def settings(classes, nodes=1, me=0, **limits):
    """Settings as of a small deployment, by `kit/sites/theory-test-ng.toml` of the operators."""
    return {
        "Me": me, "PeersTotal": nodes, "Tick": 5.0, "Discovery": "subscribe", "Weights": "nominal", "MyZone": "a",
        "Classes": classes, "Customers": [], "OverShareWorth": 0.1, "CountedBy": "request",
        "Goal": {"Whole": 0.55, "WorstClass": 0.3, "WorstTenant": 0.0, "WorstWindow": 0.15},
        "Limits": {"AttemptsCap": 3, "Cancel": True, "ConnectTimeout": 120.0, "CpuUsPerRequest": 0.0,
                   "CpuUsPerS": 800000, "Keepalive": 60000.0, "MaxRetryAfter": 2000.0, "MayDuplicate": True,
                   "Multiplex": 1, "OpenCap": 20000, "Peers": False, "Probes": True, "RetryAfter": True, **limits},
        "Contract": {"AnswerSlack": 20.0, "AskWithin": 10000.0, "ColdShare": 0.14, "DrainGrace": 500.0, "Fall": 2000.0,
                     "FallMultiple": 3.0, "WarmWithin": 24000.0},
    }


def service_class(name, effect, aim, deadline, worth, scope="all", memory=5000.0, late=0.3):
    return {"Name": name, "Idempotency": effect, "Slo": aim, "Deadline": deadline, "Value": worth, "LateValue": late,
            "DedupScope": scope, "MemorySpan": memory, "Stream": False}


# The classes of the operators' brief.
NEXT_QUESTION = service_class("next-question", "pure", 250.0, 1200.0, 3.0, late=0.25)
SAVE_ANSWER = service_class("save-answer", "pure", 1000.0, 5000.0, 1.0)
SUBMIT_TEST = service_class("submit-test", "token", 1500.0, 4000.0, 5.0, scope="cell", memory=8000.0)
ISSUE_SLIP = service_class("issue-slip", "side_effect", 1500.0, 6000.0, 2.0, late=0.2)


def node_config(name, discovery, listen, settings_object, seed):
    return {"name": name, "listen": listen, "discovery": discovery, "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings_object}


async def run_case(case, processes, limit):
    """Runs a case within its time; ends its processes, and then what the stand-ins still wait for."""
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    try:
        return await asyncio.wait_for(case, limit)
    finally:
        processes.end_all()
        await asyncio.sleep(0.2)


def main(case, limit=110.0):
    """Runs `case(record, processes, folder)`, which returns the list of breaks of the rule, and exits as the issue says."""
    home = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(home)
    code = 2
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        processes = Processes(record, folder)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        try:
            breaks = asyncio.run(run_case(case(record, processes, folder), processes, limit))
            for text in breaks:
                record.line(f"BREAK {text}")
            code = 1 if breaks else 0
            record.line(f"result: {len(breaks)} breaks of the rule")
        except CannotRun as error:
            record.line(f"the case could not run: {error}")
        except asyncio.TimeoutError:
            record.line("the case could not run: it took too long")
        except Exception as error:  # A fault of the case itself says nothing about the rule.
            record.line(f"the case could not run: {type(error).__name__}: {error}")
        finally:
            processes.end_all()
            if os.environ.get("KEEP_LOGS"):
                for name in sorted(os.listdir(folder)):
                    if name.endswith(".log"):
                        with open(os.path.join(folder, name), encoding="utf-8", errors="replace") as file:
                            sys.stderr.write(f"==== {name}\n{file.read()}")
    print(f"exit {code}")
    sys.exit(code)
