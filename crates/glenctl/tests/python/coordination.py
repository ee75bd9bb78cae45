"""Tests the stand-in coordination service with an independent client, Python's kazoo.

Runs three members in one process and uses kazoo's operations and recipes against them. Exits with 0 only if
all checks hold. Needs the package kazoo; .ci/run installs it in a virtual environment under target/.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import traceback

from kazoo.client import KazooClient
from kazoo.exceptions import BadVersionError, NodeExistsError, NoNodeError, NotEmptyError, RolledBackError
from kazoo.recipe.party import Party
from kazoo.recipe.watchers import ChildrenWatch, DataWatch

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", "..", "..", ".."))
GLENCTL = os.path.join(ROOT, "target", "debug", "glenctl")
MEMBERS = 3
PATIENCE = 30


def until(description, condition):
    end = time.monotonic() + PATIENCE
    while not condition():
        assert time.monotonic() < end, f"timed out: {description}"
        time.sleep(0.02)


def connect(hosts, timeout=4.0):
    client = KazooClient(hosts=",".join(hosts), timeout=timeout)
    client.start(timeout=PATIENCE)
    return client


def operations(client):
    client.ensure_path("/t/deep/path")
    assert client.create("/t/a", b"one") == "/t/a"
    data, stat = client.get("/t/a")
    assert (data, stat.version, stat.ephemeralOwner, stat.dataLength) == (b"one", 0, 0, 3)
    assert client.set("/t/a", b"two", version=0).version == 1
    for failing, error in [
        (lambda: client.set("/t/a", b"x", version=0), BadVersionError),
        (lambda: client.create("/t/a", b""), NodeExistsError),
        (lambda: client.get("/t/none"), NoNodeError),
        (lambda: client.delete("/t"), NotEmptyError),
    ]:
        try:
            failing()
        except error:
            continue
        raise AssertionError(f"{error} expected")
    path, stat = client.create("/t/a/s-", b"", sequence=True, include_data=True)
    assert path == "/t/a/s-0000000000" and stat.ephemeralOwner == 0
    assert client.create("/t/a/s-", b"", sequence=True) == "/t/a/s-0000000001"
    assert sorted(client.get_children("/t/a")) == ["s-0000000000", "s-0000000001"]
    assert client.get_children("/t/a", include_data=True)[1].numChildren == 2
    committed = client.transaction()
    committed.check("/t/a", 1)
    committed.create("/t/multi", b"m")
    committed.set_data("/t/multi", b"n")
    committed.delete("/t/a/s-0000000000")
    results = committed.commit()
    assert results[0] is True and results[1] == "/t/multi" and results[2].version == 1 and results[3] is True, results
    rolled_back = client.transaction()
    rolled_back.create("/t/never", b"")
    rolled_back.delete("/t/none")
    results = rolled_back.commit()
    assert isinstance(results[0], RolledBackError) and isinstance(results[1], NoNodeError), results
    assert client.exists("/t/never") is None
    assert client.sync("/t") == "/t"
    assert client.get("/t/multi")[0] == b"n"


def watches(client, other):
    seen, children = [], []
    DataWatch(client, "/t/watched", lambda data, stat: seen.append(data))
    ChildrenWatch(client, "/t/deep", lambda names: children.append(sorted(names)))
    other.create("/t/watched", b"1")
    other.set("/t/watched", b"2")
    other.create("/t/deep/x")
    until("the watches fire", lambda: b"2" in seen and children[-1] == ["path", "x"])
    other.delete("/t/watched")
    until("the deletion is seen", lambda: seen[-1] is None)


def recipes(hosts):
    clients = [connect(hosts) for _ in range(3)]
    # A lock has one holder at a time.
    holders, max_holders, acquisitions = [0], [0], [0]

    def work(client):
        for _ in range(5):
            with client.Lock("/t/lock"):
                holders[0] += 1
                max_holders[0] = max(max_holders[0], holders[0])
                time.sleep(0.005)
                holders[0] -= 1
                acquisitions[0] += 1

    threads = [threading.Thread(target=work, args=(client,)) for client in clients]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(PATIENCE)
    assert (max_holders[0], acquisitions[0]) == (1, 15), (max_holders, acquisitions)
    # Each candidate is elected once.
    leaders = []
    threads = [
        threading.Thread(target=c.Election("/t/election", str(n)).run, args=(leaders.append, n))
        for n, c in enumerate(clients)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(PATIENCE)
    assert sorted(leaders) == [0, 1, 2], leaders
    parties = [Party(client, "/t/party", str(n)) for n, client in enumerate(clients)]
    for party in parties:
        party.join()
    until("all members have joined", lambda: sorted(parties[0]) == ["0", "1", "2"])
    clients[2].stop()
    until("the stopped client has left", lambda: sorted(parties[0]) == ["0", "1"])
    return clients[:2], parties[:2]


def registrations(client, hosts):
    """Kazoo sees the entry that glenctl register writes, then its drain and its removal."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = "%s:%d" % server.getsockname()
        process = subprocess.Popen(
            [GLENCTL, "register", "--members", ",".join(hosts), "--path", "/servers", "--name", "s1", "--address", address,
             "--cell", "4", "--drain-ms", "300", "--", "sleep", "600"], stderr=subprocess.DEVNULL)
        try:
            seen = []
            DataWatch(client, "/servers/s1", lambda data, stat: seen.append(data and (json.loads(data), stat.ephemeralOwner)))
            # The first call of the watch comes later if the entry is created while the watch is being set.
            until("the server is registered", lambda: seen and seen[-1])
            entry, owner = seen[-1]
            assert (entry["dial"], entry["block"], entry["health"]) == (address, 4, "active") and owner, entry
            process.send_signal(signal.SIGTERM)
            until("the removal is seen", lambda: seen[-1] is None)
            assert [s[0]["health"] for s in seen if s] == ["active", "leaving"], seen
            assert process.wait(PATIENCE) == 0
        finally:
            process.kill()
            process.wait()


def main():
    process = subprocess.Popen(
        [GLENCTL, "stand-in", "coordination", "--members", str(MEMBERS), "--by-hand"],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    try:
        hosts = [process.stdout.readline().split()[2] for _ in range(MEMBERS)]

        def send_command(command):
            process.stdin.write(command + "\n")
            process.stdin.flush()
            assert process.stdout.readline().strip() == command

        first, second = connect(hosts), connect(hosts)
        operations(first)
        watches(first, second)
        clients, parties = recipes(hosts)
        # Each member in turn is restarted: sessions and their ephemeral nodes persist, and recipes go on.
        sessions = [client.client_id[0] for client in clients]
        for member in range(MEMBERS):
            send_command(f"kill {member}")
            with clients[0].Lock("/t/lock"):
                assert sorted(parties[1]) == ["0", "1"]
            send_command(f"restore {member}")
            time.sleep(0.3)
        assert [client.client_id[0] for client in clients] == sessions, "the sessions moved and did not end"
        late = []
        ChildrenWatch(clients[0], "/t/deep", lambda names: late.append(names))
        clients[1].create("/t/deep/late")
        until("watches persist", lambda: "late" in late[-1])
        # The ephemeral node of a client that dies without closing its session is removed after the session
        # timeout.
        subprocess.run([sys.executable, __file__, "--brief", *hosts], check=True, timeout=PATIENCE)
        assert first.exists("/t/brief") is not None
        until("the node is removed with its session", lambda: first.exists("/t/brief") is None)
        registrations(first, hosts)
        for client in [first, second, *clients]:
            client.stop()
    finally:
        process.kill()
        process.wait()
    print("kazoo: ok")


def create_ephemeral_and_exit(hosts):
    """Creates an ephemeral node and exits without closing the session."""
    connect(hosts, timeout=2.0).create("/t/brief", ephemeral=True)
    os._exit(0)


if __name__ == "__main__":
    if sys.argv[1:2] == ["--brief"]:
        create_ephemeral_and_exit(sys.argv[2:])
    try:
        main()
    except BaseException:
        # The threads of clients that were not stopped would keep the process alive.
        traceback.print_exc()
        sys.stderr.flush()
        os._exit(1)
