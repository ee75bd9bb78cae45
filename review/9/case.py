"""A bad client sends the id of another client's open request to a node with custody."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
import custody  # noqa: E402
from standins import Case, Discovery, Server, ask, entry, main, settings  # noqa: E402

HERE = pathlib.Path(__file__).resolve().parent
DEADLINE_MS = 4000
LIFE_MS = 8000  # twice the longest deadline, as the page on custody asks


def play(case: Case):
    servers = [Server(case, f"s{n}", 1.5) for n in range(3)]
    discovery = Discovery(case, [entry(server, block=n) for n, server in enumerate(servers)])
    deadline = {"Deadline": DEADLINE_MS, "Slo": 2500}
    nodes = custody.start(case, discovery, settings({"look": deadline, "pay": deadline, "slip": deadline}), LIFE_MS)
    usual, bad = [], None
    client = threading.Thread(
        target=lambda: usual.append(ask(case, nodes[1].address, "POST", "/slip", "t1", DEADLINE_MS - 100)))
    client.start()
    case.wait_for("the request runs at a server", lambda: any(server.runs for server in servers), 5.0)
    time.sleep(0.3)
    if case.trouble:
        case.note("the bad client sends the id of the open request, on a connection of its own")
        bad = ask(case, nodes[1].address, "POST", "/slip", "t1", DEADLINE_MS - 1000)
    client.join()
    case.note(f"the usual client: {usual}; the bad one: {bad}; runs: {[server.ids() for server in servers]}")
    if bad and bad[0] == 200:
        case.breach(f"a client that sent the id of another client's open request was served with that one's answer: {bad}")
    if not usual or usual[0][0] != 200 or "t1" not in usual[0][1]:
        case.note("the usual client was not served")


main(HERE, play)
