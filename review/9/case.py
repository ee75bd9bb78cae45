"""Two operators of one account change two machines at the same moment."""

import hashlib
import json
import os
import pathlib
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from standins import ROOT, Case, Discovery, Server, entry, free_port, is_ready, main, settings  # noqa: E402

HERE = pathlib.Path(__file__).resolve().parent
ROUNDS = 8
GLENCTL = "target/release/glenctl"


def start_agent(case, number, discovery, digest):
    """One machine: an agent with one instance, and two releases that are the same program."""
    listen = f"127.0.0.1:{free_port()}"
    config = case.tmp / f"n{number}.json"
    config.write_text(json.dumps({
        "name": f"n{number}", "listen": listen, "discovery": discovery.address, "seed": f"{number + 1}",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
        "settings": dict(settings(), Me=number, PeersTotal=2)}), encoding="utf-8")
    releases = "".join(f'[releases.{name}]\npath = "{ROOT}/target/release/glenwood"\nsha256 = "{digest}"\n'
                       for name in ("r1", "r2"))
    fleet = case.tmp / f"fleet{number}.toml"
    fleet.write_text(f'[fleet]\nmax_unavailable = 1\npause_ms = 100\ncanary_requests = 0\n{releases}[[instance]]\n'
                     f'name = "n{number}"\ngroup = "exam"\nrelease = "r1"\nconfig = "{config}"\norder = 1\n',
                     encoding="utf-8")
    folder = case.tmp / f"a{number}"
    case.start(f"agent{number}", ["target/release/glenwood-agent", "--fleet", str(fleet), "--folder", str(folder)])
    return listen, folder / "agent.sock"


def play(case: Case):
    discovery = Discovery(case, [entry(Server(case, f"s{n}", 0.01), block=n) for n in range(2)])
    digest = hashlib.sha256((ROOT / "target/release/glenwood").read_bytes()).hexdigest()
    machines = [start_agent(case, n, discovery, digest) for n in range(2)]
    agents = ",".join(str(socket) for _, socket in machines)
    # Both operators use the account of those who are on call.
    env = dict(os.environ, USER="oncall")
    env.pop("GLENWOOD_AGENTS", None)

    def operator(*words):
        return subprocess.Popen([GLENCTL, "fleet", "--agents", agents, *words], cwd=ROOT, env=env, text=True,
                                stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.STDOUT)

    def finish(name, process):
        out = process.communicate(timeout=60)[0].strip().replace(str(case.tmp), "")
        case.note(f"{name}: exit {process.returncode}: {out!r}")
        return process.returncode

    case.wait_for("the agents listen", lambda: all(socket.exists() for _, socket in machines))
    finish("apply", operator("apply"))
    case.wait_for("both nodes are ready", lambda: all(is_ready(listen) for listen, _ in machines))
    time.sleep(1.0)
    gaps, stop = [], threading.Event()

    def front():
        """A front that looks at both nodes every 20 ms."""
        since = None
        while not stop.is_set():
            ready = []
            for listen, _ in machines:
                try:
                    ready.append(is_ready(listen))
                except OSError:
                    ready.append(False)
            if any(ready):
                if since is not None:
                    gaps.append(case.now() - since)
                since = None
            elif since is None:
                since = case.now()
            time.sleep(0.02)

    threading.Thread(target=front, daemon=True).start()
    for number in range(ROUNDS):
        to = "r2" if number % 2 == 0 else "r1"
        before = len(gaps)
        if case.trouble:
            both = [operator("roll", "--to", to, f"n{n}") for n in range(2)]
            codes = [finish(f"operator {n}, round {number}", one) for n, one in enumerate(both)]
            time.sleep(0.3)
            if codes == [0, 0]:
                case.note(f"round {number}: both had the lease; no node was ready for "
                          f"{[round(gap, 2) for gap in gaps[before:]]} s")
        else:
            # One after the other.
            for n in range(2):
                finish(f"operator {n}, round {number}", operator("roll", "--to", to, f"n{n}"))
                time.sleep(0.3)
    stop.set()
    trails = []
    for _, socket in machines:
        history = subprocess.run([GLENCTL, "fleet", "--agents", str(socket), "history"], cwd=ROOT, env=env, text=True,
                                 capture_output=True, timeout=20).stdout
        trails.append({one["epoch"]: one["what"].strip() for one in map(json.loads, history.splitlines())
                       if one["what"].startswith("roll")})
        case.note(f"audit trail: {trails[-1]}")
    twice = sorted(set(trails[0]) & set(trails[1]))
    case.note(f"no node was ready: {[round(gap, 2) for gap in gaps]} s")
    if twice:
        case.breach(f"in {len(twice)} of {ROUNDS} rounds two operators' programs held the one lease at a time: epochs {twice} each "
                    f"bear two changes that were asked for apart, e.g. {trails[0][twice[0]]!r} and {trails[1][twice[0]]!r}")


main(HERE, play)
