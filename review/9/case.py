"""Two clients ask for the same thing, which must not run twice for one of them; the second one meets a dead node first."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
import custody  # noqa: E402
from standins import Case, Discovery, Server, ask, entry, main, settings  # noqa: E402

HERE = pathlib.Path(__file__).resolve().parent
DEADLINE_MS = 4000
LIFE_MS = 8000  # twice the longest deadline, as the page on custody asks
SLIP = b'{"slip":"day pass","centre":"ibadan-2"}'


def play(case: Case):
    servers = [Server(case, f"s{n}", 0.02) for n in range(3)]
    discovery = Discovery(case, [entry(server, block=n) for n, server in enumerate(servers)])
    deadline = {"Deadline": DEADLINE_MS, "Slo": 1500}
    nodes = custody.start(case, discovery, settings({"look": deadline, "pay": deadline, "slip": deadline}), LIFE_MS)
    if case.trouble:
        case.signal(nodes[0].process, signal.SIGKILL)
        nodes[0].process.wait()
    # Client A.
    first = ask(case, nodes[1].address, "POST", "/slip", "a1", DEADLINE_MS, SLIP)
    if first[0] != 200 or " a1 " not in first[1]:
        case.note("client A was not served; nothing to compare with")
        return
    # Client B, who needs a slip as well: a front still sends it to the dead node; it comes again where it reached none.
    txn, second = "b1", ask(case, nodes[0].address, "POST", "/slip", "b1", DEADLINE_MS, SLIP)
    if second[0] == 0:
        time.sleep(0.2)
        txn, second = "b2", ask(case, nodes[2].address, "POST", "/slip", "b2", DEADLINE_MS, SLIP, X_Resent="1")
    ids = [txn for server in servers for txn in server.ids()]
    case.note(f"client A: {first}; client B: {second}; servers ran: {ids}")
    if second[0] == 200 and f" {txn} " not in second[1]:
        case.breach(f"client B was served with what a server made for client A ({second[1]!r}); of two slips that were asked for "
                    f"and reported as issued, {len(ids)} ran")


main(HERE, play)
