"""Four nodes with custody switched on, as docs/operate/custody.md says."""

import os
import socket

from standins import Node, free_port

NODES = 4


def start(case, discovery, conf, life_ms):
    """Starts the nodes, each a keeper in a zone of its own, and waits until all keepers vote."""
    secret = case.tmp / "members.secret"
    secret.write_bytes(os.urandom(32))
    secret.chmod(0o600)
    members = [f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}" for _ in range(NODES)]
    keepers = "".join(f'[[custody.keeper]]\nname = "n{n}"\nzone = "z{n}"\n' for n in range(NODES))
    seeds = ", ".join(f'"{one}"' for one in members)
    nodes = []
    for n in range(NODES):
        operator = (f'[members]\ncluster = "case"\nsecret = "{secret}"\nlisten = "{members[n]}"\nzone = "z{n}"\n'
                    f'seeds = [{seeds}]\n[custody]\nlife_ms = {life_ms}\n{keepers}')
        mine = dict(conf, Me=n, PeersTotal=NODES)
        nodes.append(Node(case, f"n{n}", discovery.address, mine, operator=operator, mgmt=True).start())
    for node in nodes:
        node.wait_ready()
    case.wait_for("all know one another", lambda: all(n.metric("members_living") == NODES - 1 for n in nodes))
    case.wait_for("keepers vote", lambda: all(n.metric("custody_votes") == 1 for n in nodes), life_ms / 1000 + 20)
    case.note("all keepers vote")
    return nodes
