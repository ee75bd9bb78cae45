"""A server leaves the registrations while a node restarts; the node's configuration still has it in `known`."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from standins import Case, Node, Server, ask, entry, free_port, main, settings  # noqa: E402
from coordination import Service, deregister  # noqa: E402

HERE = pathlib.Path(__file__).resolve().parent
NODES = 4  # one restarts: a quarter, where the page has up to 30% at a time
GRACE = 0.5 + 0.05  # the rule's, and what sockets add


def play(case: Case):
    servers = [Server(case, f"s{n}") for n in range(3)]
    service = Service(case)
    registrars, born = [], []
    for n, server in enumerate(servers):
        born.append(int(time.time() * 1000))  # the registrar states its own start, some ms later
        registrars.append(service.register(server, cell=n, zone="a", kind="m"))
    conf = settings()
    # Discovery is not asked at all: nothing listens at its address.
    nodes = [Node(case, f"n{n}", f"127.0.0.1:{free_port()}", dict(conf, Me=n, PeersTotal=NODES),
                  operator=service.operator(alone="true")).start() for n in range(NODES)]
    node = nodes[0]
    for one in nodes:
        one.wait_ready()
    case.wait_for("the nodes have the registrations",
                  lambda: all("registrations: 3 servers" in one.log() for one in nodes))

    def round_of(name, count=30):
        for n in range(count):
            ask(case, node.address, "POST", "/slip", f"{name}-{n}", 3000, b"one slip")
            time.sleep(0.02)

    round_of("before")
    case.note(f"runs so far: {[len(server.runs) for server in servers]}")
    if not all(server.runs for server in servers):
        case.note("not all servers are in use; nothing to compare with")
        return
    if case.trouble:
        # A planned restart. The platform hands the node the list as it last had it.
        case.signal(node.process, signal.SIGTERM)
        node.process.wait(timeout=10)
        case.note("the node has ended")
        node.config["known"] = {"seq": 1, "whole": True, "hosts": [
            entry(server, block=n, born_ms=born[n]) for n, server in enumerate(servers)]}
    deregister(case, servers[2], registrars[2])
    if case.trouble:
        node.start()
        node.wait_ready()
        # The whole list of registrations, which does not name s2.
        case.wait_for("the node has the registrations", lambda: "registrations: 2 servers" in node.log())
    told = case.now()
    case.note("the node has been told a whole list without s2")
    time.sleep(GRACE + 0.5)
    since = case.now()
    round_of("after", 60)
    late = [run for run in servers[2].runs if run[0] > told + GRACE]
    case.note(f"runs since: {[sum(1 for run in server.runs if run[0] > since) for server in servers]}")
    if late:
        case.breach(f"s2 got {len(late)} requests later than {GRACE} s after the node was told that it is gone, "
                    f"the last {late[-1][0] - told:.1f} s after")


main(HERE, play)
