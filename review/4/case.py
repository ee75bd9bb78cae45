"""Two operators act at the same moment: does more than one of them act as the holder of the lease?

Three agents with an instance each, and operators on one account, as `glenctl fleet` takes their name from it. In each round two
operators stop one instance each, at the same moment (TROUBLE=0: one after the other); then both are started again. The agents'
audit trails say under which epoch of the lease, which is taken at all three, each command was carried out.
"""

import asyncio
import hashlib
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from rig import *  # noqa: E402,F403

ROUNDS = 25
GLENCTL = os.path.join(ROOT, "target/release/glenctl")


async def case(record, processes, folder):
    breaks, both, refused = [], 0, 0
    discovery = await Discovery().start()

    async def serve(server, request, writer):
        writer.write(response(200, request.txn.encode()))

    for n in range(2):
        server = await Server(f"s{n}", serve).start()
        discovery.put(server.name, server.address)
    binary = os.path.join(ROOT, "target/release/glenwood")
    with open(binary, "rb") as file:
        digest = hashlib.sha256(file.read()).hexdigest()
    tmp = os.path.join(folder, "tmp")
    os.makedirs(tmp)
    agents, folders = [], []
    for n in range(3):
        config = node_config(f"n{n}", discovery.address, f"127.0.0.1:{free_port()}",
                             settings([NEXT_QUESTION, SAVE_ANSWER], nodes=3, me=n), 11 + n)
        path = os.path.join(folder, f"n{n}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        fleet = os.path.join(folder, f"fleet{n}.toml")
        with open(fleet, "w", encoding="utf-8") as file:
            file.write(f'[releases.r1]\npath = "{binary}"\nsha256 = "{digest}"\n[[instance]]\nname = "n{n}"\n'
                       f'release = "r1"\nconfig = "{path}"\n')
        folders.append(os.path.join(folder, f"agent{n}"))
        agents.append(processes.start(f"agent{n}", [os.path.join(ROOT, "target/release/glenwood-agent"), "--fleet", fleet,
                                                    "--folder", folders[n]], {"TMPDIR": tmp}))
    sockets = [os.path.join(one, "agent.sock") for one in folders]
    env = {**os.environ, "GLENWOOD_AGENTS": ",".join(sockets), "USER": "operator"}

    async def operate(who, *arguments):
        process = await asyncio.create_subprocess_exec(GLENCTL, "fleet", *arguments, env=env, cwd=ROOT,
                                                       stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
        output, _ = await asyncio.wait_for(process.communicate(), 20)
        text = " | ".join(output.decode().split("\n")).strip(" |").replace(folder, "")
        record.line(f"{who}: fleet {' '.join(arguments)}: exit {process.returncode}: {text}")
        return process.returncode

    async def status():
        process = await asyncio.create_subprocess_exec(GLENCTL, "fleet", "status", "--json", env=env, cwd=ROOT,
                                                       stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL)
        output, _ = await asyncio.wait_for(process.communicate(), 20)
        instances = {}
        for one in json.loads(output)["agents"]:
            instances.update(one["status"]["instances"])
        return instances

    async def wait_until(wanted):
        for _ in range(200):
            try:
                if wanted(await status()):
                    return
            except (ValueError, KeyError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("the instances do not come to the state that was asked for")

    def all_ready(instances):
        return len(instances) == 3 and all(one["stage"] == "ready" for one in instances.values())

    try:
        for _ in range(100):
            if all(os.path.exists(one) for one in sockets):
                break
            await asyncio.sleep(0.1)
        if await operate("setup", "apply") != 0:
            raise CannotRun("the instances can't be started")
        for number in range(ROUNDS):
            await wait_until(all_ready)
            if TROUBLE:
                codes = await asyncio.gather(operate("operator A", "stop", "n0"), operate("operator B", "stop", "n1"))
            else:
                codes = [await operate("operator A", "stop", "n0"), await operate("operator B", "stop", "n1")]
            both += codes == [0, 0]
            refused += 3 in codes
            await wait_until(lambda instances: all(one["run"] or one["pid"] is None for one in instances.values()))
            for name, one in (await status()).items():
                if not one["run"] and await operate("setup", "start", name) != 0:
                    raise CannotRun("an instance can't be started again")
        record.line(f"in {both} of {ROUNDS} rounds both were told that it was done, in {refused} one was refused")
        under = {}
        for one in folders:
            with open(os.path.join(one, "audit"), encoding="utf-8") as file:
                for line in file:
                    entry = json.loads(line)
                    record.line(f"audit of {os.path.basename(one)}, {entry['number']}: epoch {entry['epoch']}: {entry['what']}")
                    if entry["what"] != "apply":
                        under.setdefault(entry["epoch"], []).append(entry["what"])
        for epoch, commands in under.items():
            if len(commands) > 1:
                breaks.append(f"commands of two operators were carried out under the one lease of epoch {epoch}: {commands}")
    finally:
        # Instances go on without their agent: it is ended first, and then they are. Each bears its agent's folder, which
        # is one of this test alone, in its environment.
        for agent in agents:
            agent.kill()
            agent.wait()
        for pid in filter(str.isdigit, os.listdir("/proc")):
            try:
                with open(f"/proc/{pid}/environ", "rb") as file:
                    if f"GLENWOOD_AGENT={folder}/".encode() in file.read():
                        os.kill(int(pid), 9)
            except (OSError, ProcessLookupError):
                pass
    return breaks


main(case)
