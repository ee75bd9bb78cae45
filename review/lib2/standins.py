"""What the cases of this review share: starting the project's programs, and small stand-ins that follow the pages.

Only the standard library is used. All addresses are loopback ones, all ports are free ones, and all files lie in a
temporary folder that is removed at the end.
"""

import hashlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
RUN = "exec target/release/glenwood"  # the command `run` of the deploy file


class CannotRun(Exception):
    """The case could not be carried out; it says nothing of the rule."""


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Case:
    """One run of a case: its record, its temporary folder and its processes."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.record = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.tmp = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.children = []
        self.broken = []
        self.note(f"disruption: {'yes' if self.trouble else 'no'}")

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        with self.lock:
            if not self.record.closed:
                self.record.write(f"{self.now():8.3f}  {text}\n")
                self.record.flush()

    def breach(self, text):
        """The rule was broken."""
        self.broken.append(text)
        self.note(f"BROKEN: {text}")

    def start(self, name, command, env=None, pipe=False, stdin=None):
        """Starts a program of the project from the root; what it says goes to a log in the temporary folder."""
        log = self.tmp / f"{name}.log"
        clean = {k: v for k, v in os.environ.items() if not k.startswith(("BALANCER_", "GLENWOOD_"))}
        clean.update(env or {})
        out = subprocess.PIPE if pipe else open(log, "ab")
        child = subprocess.Popen(
            command, cwd=ROOT, env=clean, stdin=stdin or subprocess.DEVNULL, stdout=out,
            stderr=open(log, "ab"), start_new_session=True)
        child.log_path = log
        self.children.append(child)
        self.note(f"started {name}: process {child.pid}")
        return child

    def log_of(self, child):
        return child.log_path.read_text(encoding="utf-8", errors="replace")

    def signal(self, child, which):
        self.note(f"{signal.Signals(which).name} to process {child.pid}")
        child.send_signal(which)

    def wait_for(self, what, condition, within=20.0):
        end = time.monotonic() + within
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.02)
        raise CannotRun(f"not within {within} s: {what}")

    def close(self):
        for child in self.children:
            if child.poll() is None:
                # Each was started in a session of its own.
                try:
                    os.killpg(child.pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass
        for child in self.children:
            try:
                child.wait(timeout=10)
            except subprocess.TimeoutExpired:
                pass
        for child in self.children:
            if child.log_path.exists():
                for line in self.log_of(child).splitlines()[:200]:
                    self.record.write(f"   log   {child.log_path.stem}: {line}\n")
        self.record.close()
        shutil.rmtree(self.tmp, ignore_errors=True)


def main(folder, play):
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    case = Case(folder)
    for program in ("glenwood", "glenctl"):
        if not (ROOT / "target/release" / program).exists():
            print(f"target/release/{program} is missing: build first")
            case.note(f"could not run: target/release/{program} is missing")
            case.close()
            sys.exit(2)
    watchdog = threading.Timer(110.0, lambda: (case.note("took too long"), case.close(), os._exit(2)))
    watchdog.daemon = True
    watchdog.start()

    def told_to_end(*_):
        case.note("told to end")
        case.close()
        os._exit(2)

    signal.signal(signal.SIGTERM, told_to_end)
    signal.signal(signal.SIGINT, told_to_end)
    code = 2
    try:
        play(case)
        code = 1 if case.broken else 0
        case.note("the rule was broken" if case.broken else "the rule held")
        print("\n".join(case.broken) if case.broken else "the rule held")
    except CannotRun as error:
        case.note(f"could not run: {error}")
        print(f"could not run: {error}")
    except Exception:  # noqa: BLE001  the case, not the rule, has failed
        case.note("could not run: " + traceback.format_exc())
        traceback.print_exc()
    finally:
        case.close()
    sys.stdout.flush()
    os._exit(code)


# ---- Messages ----


def read_message(stream):
    """Reads a head and its body; None at the end of the connection. Knows lengths and chunks."""
    first = stream.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = stream.readline()
        if not line:
            return None
        if line in (b"\r\n", b"\n"):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int(stream.readline().split(b";")[0], 16)
            part = stream.read(size)
            if len(part) < size:
                return None
            body += part
            stream.readline()
            if size == 0:
                break
    else:
        length = int(headers.get("content-length", "0"))
        body = stream.read(length)
        if len(body) < length:
            return None
    return first.decode("latin-1").strip(), headers, body


class Server:
    """A test server: begins a request when its last byte has come, and answers each with a body of its own."""

    def __init__(self, case, name, after=0.0):
        self.case, self.name, self.after = case, name, after
        self.born_ms = time.time() * 1000.0
        self.runs = []  # (time, target, id, digest of the body)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with connection, connection.makefile("rb") as stream:
                while True:
                    message = read_message(stream)
                    if message is None:
                        return
                    line, headers, body = message
                    target = line.split(" ")[1]
                    if target in ("/health", "/status/load"):
                        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                        continue
                    txn = headers.get("x-txn", "")
                    digest = hashlib.sha256(body).hexdigest()[:12]
                    self.runs.append((self.case.now(), target, txn, digest))
                    self.case.note(f"{self.name} runs {target}, id {txn}, body {len(body)} bytes {digest}")
                    wait = self.after(target) if callable(self.after) else self.after
                    if wait:
                        time.sleep(wait)
                    answer = f"{self.name} made this for {txn} {digest}".encode()
                    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(answer)}\r\n\r\n".encode()
                    connection.sendall(head + answer)
        except (OSError, ValueError):
            return

    def ids(self):
        return [txn for _, _, txn, _ in self.runs]


def entry(server, health="active", block=1, born_ms=0, host=None):
    return {"host": host or server.name, "dial": server.address, "site": "a", "class": "m", "block": block,
            "health": health, "share": 1.0, "born_ms": born_ms}


class Discovery:
    """Discovery that is asked: the whole list, and watches that get each change when it is told."""

    def __init__(self, case, hosts):
        self.case, self.seq = case, 1
        self.hosts = {one["host"]: one for one in hosts}
        self.history = []  # (seq, entry)
        self.changed = threading.Condition()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def tell(self, one):
        with self.changed:
            self.seq += 1
            self.history.append((self.seq, one))
            if one["health"] == "left":
                self.hosts.pop(one["host"], None)
            else:
                self.hosts[one["host"]] = one
            self.changed.notify_all()
        self.case.note(f"discovery tells: {one['host']} is {one['health']}")

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def serve(self, connection):
        try:
            with connection, connection.makefile("rb") as stream:
                while True:
                    message = read_message(stream)
                    if message is None:
                        return
                    target = message[0].split(" ")[1]
                    if "watch=1" in target:
                        return self.watch(connection, target)
                    with self.changed:
                        body = json.dumps(self.whole()).encode()
                    connection.sendall(f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                       f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        except OSError:
            return

    def watch(self, connection, target):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        def line(text):
            data = text.encode() + b"\n"
            connection.sendall(f"{len(data):x}\r\n".encode() + data + b"\r\n")

        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                           b"Transfer-Encoding: chunked\r\n\r\n")
        since = None
        for part in target.split("?", 1)[1].split("&"):
            if part.startswith("from=") and part[5:].isdigit():
                since = int(part[5:])
        with self.changed:
            known = self.seq
            if since is None or not 1 <= since <= known:
                first = self.whole()
            else:
                first = {"seq": known, "whole": False, "hosts": [e for n, e in self.history if n > since]}
        line(json.dumps(first))
        while True:
            with self.changed:
                if self.seq == known:
                    self.changed.wait(2.0)
                news = [e for n, e in self.history if n > known]
                known = self.seq
            line(json.dumps({"seq": known, "whole": False, "hosts": news}) if news else "")


# ---- Clients ----


def request_bytes(method, target, txn, remaining_ms, body=b"", **headers):
    lines = [f"{method} {target} HTTP/1.1", "Host: service.internal", f"X-Txn: {txn}",
             f"X-Remaining-Ms: {remaining_ms}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def ask(case, address, method, target, txn, remaining_ms, body=b"", **headers):
    """Sends one request on a connection of its own; returns the status and the body of the answer, (0, why) if the
    node could not be reached, and (None, why) if there was no whole answer within the client's time."""
    host, port = address.rsplit(":", 1)
    case.note(f"client asks {address}: {method} {target}, id {txn}, body {len(body)} bytes {headers or ''}")
    try:
        connection = socket.create_connection((host, int(port)), timeout=2.0)
    except OSError as error:
        case.note(f"client, id {txn}: could not reach the node: {error}")
        return 0, str(error)
    end = time.monotonic() + remaining_ms / 1000.0
    try:
        with connection:
            connection.settimeout(max(0.1, remaining_ms / 1000.0 + 0.5))
            connection.sendall(request_bytes(method, target, txn, remaining_ms, body, **headers))
            with connection.makefile("rb") as stream:
                message = read_message(stream)
    except (OSError, ValueError) as error:
        case.note(f"client, id {txn}: no whole answer: {error}")
        return None, str(error)
    if message is None:
        case.note(f"client, id {txn}: the connection ended without a whole answer")
        return None, "the connection ended"
    status = int(message[0].split(" ")[1])
    late = " (late)" if time.monotonic() > end + 0.5 else ""
    case.note(f"client, id {txn}: {status} {message[2][:120]!r}{late}")
    return status, message[2].decode("latin-1")


def get(address, path, timeout=2.0):
    """A plain GET; the status and the body."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=timeout) as connection:
        connection.settimeout(timeout)
        connection.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        with connection.makefile("rb") as stream:
            head = stream.readline()
            if not head:
                raise OSError("no answer")
            rest = stream.read()
    return int(head.split(b" ")[1]), rest.decode("latin-1")


def is_ready(address):
    return get(address, "/ready")[0] == 200


def usual_load(case, addresses, target, method="POST", remaining_ms=5500, threads=25, each=4):
    """Requests of the usual work, each with a path and an id of its own; returns how many were served."""
    served = []

    def client(number):
        for n in range(each):
            name = f"usual-{number}-{n}"
            status, _ = ask(case, addresses[number % len(addresses)], method, f"{target}/{name}", name, remaining_ms,
                            name.encode())
            if status == 200:
                served.append(name)

    clients = [threading.Thread(target=client, args=(n,), daemon=True) for n in range(threads)]
    for one in clients:
        one.start()
    for one in clients:
        one.join()
    case.note(f"{len(served)} of {threads * each} requests of the usual work were served")
    return len(served)


# ---- Nodes ----


def settings(classes=None, **limits):
    """Settings like those of a small deployment, after the example beside the deploy file."""
    config = json.loads((ROOT / "deploy/example/config.json").read_text(encoding="utf-8"))
    found = config["settings"]
    found["Limits"].update(limits)
    for one in found["Classes"]:
        one.update((classes or {}).get(one["Name"], {}))
    return found


class Node:
    """One node: its configuration, its operator's file and its process."""

    def __init__(self, case, name, discovery, conf, known=None, operator=None, memory_mb=64, sockets=512,
                 listen=None, mgmt=False, tmp=None):
        self.case, self.name = case, name
        self.address = listen or f"127.0.0.1:{free_port()}"
        self.mgmt = f"127.0.0.1:{free_port()}" if mgmt else None
        self.config = {"name": name, "listen": self.address, "discovery": discovery,
                       "seed": f"{int.from_bytes(os.urandom(8), 'big'):016x}",
                       "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, "settings": conf}
        if self.mgmt:
            self.config["mgmt"] = self.mgmt
        if known is not None:
            self.config["known"] = {"seq": 1, "whole": True, "hosts": known}
        self.operator = operator
        self.tmp = tmp or case.tmp / f"tmp-{name}"
        self.tmp.mkdir(exist_ok=True)
        self.starts = 0
        self.process = None

    def start(self):
        self.starts += 1
        label = f"{self.name}-{self.starts}-{id(self) % 1000}"
        config = self.case.tmp / f"{label}.json"
        config.write_text(json.dumps(self.config), encoding="utf-8")
        self.config_path = config  # read again at SIGHUP
        env = {"BALANCER_CONFIG": str(config), "TMPDIR": str(self.tmp)}
        if self.operator is not None:
            operator = self.case.tmp / f"{label}.toml"
            operator.write_text(self.operator, encoding="utf-8")
            env["GLENWOOD_OPERATOR"] = str(operator)
        self.process = self.case.start(label, ["/bin/sh", "-c", RUN], env)
        return self

    def wait_ready(self, within=15.0):
        self.case.wait_for(f"{self.name} is ready", lambda: is_ready(self.address), within)
        self.case.note(f"{self.name} is ready")

    def log(self):
        return self.case.log_of(self.process)

    def metric(self, name):
        for line in get(self.mgmt, "/metrics")[1].splitlines():
            if line.startswith(f"node_{name} "):
                return float(line.split()[1])
        return None
