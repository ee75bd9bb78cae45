"""Tests the node's MessagePack-RPC with an independent client and server: Python's msgpack.

Runs one node of a debug build between them and counts the executed calls. Exits with 0 only if all checks
hold. Needs the package msgpack; .ci/run installs it in a virtual environment under target/.
"""

import json
import os
import re
import socket
import subprocess
import sys
import tempfile
import threading
import time

import msgpack

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", "..", "..", ".."))
BIN = os.path.join(ROOT, "target", "debug")
PATIENCE = 30


class Server:
    """Answers calls out of order: those with an even msgid after the others that arrived with them."""

    def __init__(self):
        self.executions = {}
        self.seen = []
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            conn, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        unpacker = msgpack.Unpacker(raw=False)
        held = []
        while True:
            data = conn.recv(65536)
            if not data:
                return
            unpacker.feed(data)
            for kind, msgid, method, params in unpacker:
                assert kind == 0 and len(params) == 1, (kind, params)
                for answer in self.call(msgid, method, params[0]):
                    if answer is None:
                        return conn.close()
                    if msgid % 2 == 0 and method != "health":
                        held.append(answer)
                    else:
                        conn.sendall(answer)
            # The held answers follow the others of the same read.
            for answer in held:
                conn.sendall(answer)
            held.clear()

    def call(self, msgid, method, params):
        if method == "health":
            return [msgpack.packb([1, msgid, None, b""])]
        with self.lock:
            txn = params["txn"]
            first = txn not in self.seen
            self.seen.append(txn)
            assert isinstance(params["body"], bytes) and params["remaining_ms"] > 0
            scenario = txn.split("-")[0]
            if scenario == "away" and first:
                return [msgpack.packb([1, msgid, {"code": "turned_away", "message": "full"}, None])]
            self.executions[txn] = self.executions.get(txn, 0) + 1
            if scenario == "drop" and first:
                return [None]
            if scenario == "error":
                return [msgpack.packb([1, msgid, {"code": "failed", "message": "no"}, None])]
            body = msgpack.packb([method, params.get("path"), params.get("key"), params.get("org"), params["body"]])
            return [msgpack.packb([1, msgid, None, body], use_bin_type=True)]


class Client:
    def __init__(self, port):
        self.conn = socket.create_connection(("127.0.0.1", port), timeout=PATIENCE)
        self.unpacker = msgpack.Unpacker(raw=False)
        self.next = 0
        self.unclaimed = {}

    def send(self, method, params):
        msgid, self.next = self.next, self.next + 1
        self.conn.sendall(msgpack.packb([0, msgid, method, [params]], use_bin_type=True))
        return msgid

    def receive(self, msgid):
        while msgid not in self.unclaimed:
            data = self.conn.recv(65536)
            assert data, "the node closed the connection"
            self.unpacker.feed(data)
            for kind, other, error, result in self.unpacker:
                assert kind == 1 and other not in self.unclaimed
                self.unclaimed[other] = (error, result)
        return self.unclaimed.pop(msgid)


def start_program(args, patterns, env=None):
    """Starts a program and waits until each pattern has matched a line of its output.

    Returns the process and, for each pattern, the number that it captured.
    """
    process = subprocess.Popen(args, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, env=env, text=True)
    numbers = {}
    for line in process.stdout:
        for name, pattern in patterns.items():
            match = re.search(pattern, line)
            if match:
                numbers[name] = int(match.group(1))
        if len(numbers) == len(patterns):
            threading.Thread(target=process.stdout.read, daemon=True).start()
            return process, numbers
    raise SystemExit(f"{args}: ended before it listened")


def params(txn, **extra):
    return {"txn": txn, "org": "acme", "user": "u1", "remaining_ms": 15000, **extra}


def main():
    servers = [Server(), Server()]
    hosts = [f"s{n}=rpc:127.0.0.1:{server.port}" for n, server in enumerate(servers)]
    processes = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            glenctl = os.path.join(BIN, "glenctl")
            discovery, ports = start_program([glenctl, "stand-in", "discovery", *hosts], {"at": r"discovery \S+:(\d+)"})
            processes.append(discovery)
            with open(os.path.join(ROOT, "deploy", "example", "config.json"), encoding="utf-8") as file:
                config = json.load(file)
            config.update(listen="127.0.0.1:0", discovery=f"127.0.0.1:{ports['at']}")
            with open(os.path.join(folder, "config.json"), "w", encoding="utf-8") as file:
                json.dump(config, file)
            with open(os.path.join(folder, "node.toml"), "w", encoding="utf-8") as file:
                file.write("[msgpack]\nlisten = '127.0.0.1:0'\n")
            env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
            env["BALANCER_CONFIG"] = os.path.join(folder, "config.json")
            patterns = {"http": r" listens at \S+:(\d+)", "rpc": r" takes MessagePack-RPC at \S+:(\d+)"}
            node, ports = start_program(
                [os.path.join(BIN, "glenwood"), "--operator", os.path.join(folder, "node.toml")], patterns, env)
            processes.append(node)
            check(Client(ports["rpc"]), servers)
            node.terminate()
            assert node.wait(PATIENCE) == 0, "after SIGTERM the node exits with 0"
        finally:
            for process in processes:
                process.kill()
                process.wait()
    print("python peer: ok")


def check(client, servers):
    end = time.monotonic() + PATIENCE
    while client.receive(client.send("ready", {}))[0] is not None:
        assert time.monotonic() < end, "the node does not become ready"
        time.sleep(0.05)
    executions = lambda txn: sum(server.executions.get(txn, 0) for server in servers)
    # Many calls open at once, answered out of order: each gets its own body back.
    calls = []
    for n in range(12):
        body = bytes(range(256)) * n
        case = [("look", {}), ("pay", {"key": f"k{n}", "body": body}), ("slip", {"body": body})][n % 3]
        method, extra = case
        msgid = client.send(method, params(f"good-{n}", path=f"/7?q={n}", **extra))
        calls.append((msgid, n, method, extra.get("key"), extra.get("body", b"")))
    for msgid, n, method, key, body in calls:
        error, result = client.receive(msgid)
        assert error is None, error
        assert msgpack.unpackb(result, raw=False) == [method, f"/7?q={n}", key, "acme", body]
        assert executions(f"good-{n}") == 1
    # A reply which proves that nothing ran is retried in every class; an unsafe call that may have run is
    # not.
    error, _ = client.receive(client.send("slip", params("away-1", body=b"x")))
    assert error is None and executions("away-1") == 1, error
    error, _ = client.receive(client.send("slip", params("drop-1", body=b"x")))
    assert error["code"] == "failed" and executions("drop-1") == 1, error
    error, _ = client.receive(client.send("pay", params("drop-2", key="kd", body=b"x")))
    # Each server drops the call once, and these servers keep no keys: at most three attempts.
    assert error is None and 2 <= executions("drop-2") <= 3, error
    error, _ = client.receive(client.send("slip", params("error-1", body=b"x")))
    assert error["code"] == "failed" and executions("error-1") == 1, error
    # Invalid calls, each with its own error code.
    invalid = [
        ("sell", params("bad-1"), "unknown_class"),
        ("pay", params("bad-2"), "bad_request"),
        ("slip", {"txn": "bad-3"}, "bad_request"),
        ("slip", params("bad-4", body="text"), "bad_request"),
        ("slip", params("bad-5", body=bytes(65537)), "too_large"),
    ]
    for method, call_params, code in invalid:
        error, result = client.receive(client.send(method, call_params))
        assert error["code"] == code and result is None, (method, error)
    assert not any(txn.startswith("bad") for server in servers for txn in server.seen)


if __name__ == "__main__":
    sys.exit(main())
