"""Longer deadlines by SIGHUP, beside registers of work in hand that live for a time made for the shorter ones."""

import json
import os
import pathlib
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from standins import CannotRun, Case, Discovery, Node, Server, ask, entry, free_port, main, settings  # noqa: E402

HERE = pathlib.Path(__file__).resolve().parent
NODES = 4
SHORT_MS, LONG_MS = 2000, 6000  # the longer one is that of `issue-slip`
LIFE_MS = 4000  # twice the longest deadline, as the page on custody asks
WORK_S = 5.3  # what this request takes its server: some cost many times the usual work
KILLED_AFTER_S = 4.6


def with_deadline(conf, deadline):
    conf = json.loads(json.dumps(conf))
    for one in conf["Classes"]:
        one["Deadline"] = deadline
    return conf


def play(case: Case):
    work = WORK_S if case.trouble else 1.0
    servers = [Server(case, f"s{n}", lambda target: work if "heavy" in target else 0.02) for n in range(3)]
    discovery = Discovery(case, [entry(server, block=n) for n, server in enumerate(servers)])
    secret = case.tmp / "members.secret"
    secret.write_bytes(os.urandom(32))
    secret.chmod(0o600)
    conf = settings()
    conf["PeersTotal"] = NODES
    conf = with_deadline(conf, SHORT_MS)
    members = [f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}" for _ in range(NODES)]
    keepers = "".join(f'[[custody.keeper]]\nname = "n{n}"\nzone = "z{n}"\n' for n in range(NODES))
    seeds = ", ".join(f'"{one}"' for one in members)
    nodes = []
    for n in range(NODES):
        operator = (f'[members]\ncluster = "case"\nsecret = "{secret}"\nlisten = "{members[n]}"\nzone = "z{n}"\n'
                    f'seeds = [{seeds}]\n[custody]\nlife_ms = {LIFE_MS}\n{keepers}')
        nodes.append(Node(case, f"n{n}", discovery.address, dict(conf, Me=n), operator=operator, mgmt=True).start())
    for node in nodes:
        node.wait_ready()
    case.wait_for("all know one another", lambda: all(n.metric("members_living") == NODES - 1 for n in nodes))
    case.wait_for("keepers vote", lambda: all(n.metric("custody_votes") == 1 for n in nodes))
    case.note("all keepers vote")
    deadline = SHORT_MS
    if case.trouble:
        deadline = LONG_MS
        for node in nodes:
            node.config["settings"] = with_deadline(node.config["settings"], LONG_MS)
            node.config_path.write_text(json.dumps(node.config), encoding="utf-8")
            case.signal(node.process, signal.SIGHUP)
        time.sleep(1.5)
        taken = [node.metric("conf_loaded") for node in nodes]
        case.note(f"new configurations taken: {taken}, turned down: {[n.metric('conf_invalid') for n in nodes]}")
        if not all(taken):
            case.note("the nodes turned the longer deadline down")
            return
    first = []
    began = case.now()
    client = threading.Thread(
        target=lambda: first.append(ask(case, nodes[0].address, "POST", "/slip/heavy", "t1", deadline, b"one slip")))
    client.start()
    case.wait_for("it runs at a server", lambda: any(server.runs for server in servers), 5.0)
    again = None
    if case.trouble:
        time.sleep(max(0.0, began + KILLED_AFTER_S - case.now()))
        case.signal(nodes[0].process, signal.SIGKILL)
        client.join()
        time.sleep(0.1)
        left = int(deadline - 1000 * (case.now() - began))
        again = ask(case, nodes[1].address, "POST", "/slip/heavy", "t2", left, b"one slip", X_Resent="1")
    client.join()
    runs = [(server.name, run) for server in servers for run in server.runs]
    case.note(f"answers: {first} {again}; runs: {runs}")
    if len(runs) > 1:
        case.breach(f"an unsafe request, which must never run twice, ran {len(runs)} times: "
                    + ", ".join(f"{name} at {run[0]:.2f} s (id {run[2]})" for name, run in runs))


main(HERE, play)
