"""A server registers, drains and ends its registration before discovery, which is seconds behind, lists it at all."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from standins import Case, Discovery, Node, Server, ask, entry, main, settings  # noqa: E402
from coordination import Service, deregister  # noqa: E402

HERE = pathlib.Path(__file__).resolve().parent
GRACE = 0.5 + 0.05  # the rule's, and what sockets add
LAG = 8.0  # how far behind discovery is


def play(case: Case):
    servers = [Server(case, f"s{n}") for n in range(2)]
    born = [server.born_ms for server in servers]
    discovery = Discovery(case, [entry(s, block=n, born_ms=born[n]) for n, s in enumerate(servers)])
    service = Service(case)
    for n, server in enumerate(servers):
        service.register(server, cell=n, zone="a", kind="m")
    node = Node(case, "n0", discovery.address, settings(), operator=service.operator(alone="false")).start()
    node.wait_ready()
    case.wait_for("the node has the registrations", lambda: "registrations: 2 servers" in node.log())
    stop = threading.Event()

    def client():
        count = 0
        while not stop.is_set():
            count += 1
            ask(case, node.address, "GET", "/look", f"r{count}", 3000)
            time.sleep(0.03)

    threading.Thread(target=client, daemon=True).start()
    time.sleep(1.0)
    lag = LAG if case.trouble else 0.0
    newcomer = Server(case, "s2")
    began = case.now()

    def tell(health):
        discovery.tell(entry(newcomer, health, block=2, born_ms=newcomer.born_ms))

    def tell_later(health):
        timer = threading.Timer(lag, tell, args=(health,))
        timer.daemon = True
        timer.start()

    tell_later("active")
    registrar = service.register(newcomer, cell=2, zone="a", kind="m", drain_ms=1000)
    time.sleep(2.0)
    used = len(newcomer.runs)
    case.note(f"s2 has run {used} requests")
    draining = case.now()
    tell_later("leaving")
    deregister(case, newcomer, registrar)
    tell_later("left")
    # Until discovery has told all that it had to tell, and a little longer.
    time.sleep(lag + 2.0)
    stop.set()
    time.sleep(0.5)
    late = [run for run in newcomer.runs if run[0] > draining + 0.1 + GRACE]
    case.note(f"s2 registered at {began:.1f} s, drained from {draining:.1f} s on; runs later than the grace: "
              f"{[round(run[0], 2) for run in late][:10]}")
    if not used:
        case.note("s2 was never in use; the case shows nothing")
    if late:
        case.breach(f"s2 got {len(late)} new requests after its own registration had said that it drains and had ended, "
                    f"the last {late[-1][0] - draining:.1f} s after")


main(HERE, play)
