"""A new version of the configuration names the servers that discovery lists: are keyed requests still repeated in their cell alone?

One node that follows discovery and a source of configuration; six servers in two cells, each cell with a memory of keys of its
own. One server fails part of its requests after it has carried them out. The version gives the servers other weights.
"""

import asyncio
import json
import os
import random
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from rig import *  # noqa: E402,F403

SERVERS, FAILS, FAILING_SHARE = 6, 0, 0.6
BEFORE, AFTER, SPACING = 100, 300, 0.04


async def case(record, processes, folder):
    runs, breaks, counts = {}, [], {"served": 0, "failed": 0, "refused": 0, "repeated": 0}
    block = {f"s{n}": 1 + n % 2 for n in range(SERVERS)}

    async def serve(server, request, writer):
        cell = block[server.name]
        known = any(one == cell for one, _ in runs.setdefault(request.key, []))
        counts["repeated"] += bool(runs[request.key])
        if not known:
            runs[request.key].append((cell, server.name))
        record.line(f"server {server.name} of cell {cell} {'drops the repeat of' if known else 'carries out'} {request.key}")
        await asyncio.sleep(random.uniform(0.02, 0.03))
        fails = server.name == f"s{FAILS}" and not known and random.random() < FAILING_SHARE
        record.line(f"server {server.name} answers {request.key} with {500 if fails else 200}")
        writer.write(response(500) if fails else response(200, b"taken: " + request.key.encode()))

    discovery = await Discovery().start()
    addresses = {}
    for n in range(SERVERS):
        server = await Server(f"s{n}", serve).start()
        addresses[server.name] = server.address
        discovery.put(server.name, server.address, block=block[server.name])
    first = os.path.join(folder, "first.json")
    with open(first, "w", encoding="utf-8") as file:
        json.dump([{"name": "exam", "owner": "ops", "body": {"service": {}}}], file)
    source = f"127.0.0.1:{free_port()}"
    processes.start("source", [os.path.join(ROOT, "target/release/glenwood-configuration"), "source", "--listen", source,
                               "--first", first])
    listen, mgmt = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
    config = node_config("n0", discovery.address, listen, settings([NEXT_QUESTION, SAVE_ANSWER, SUBMIT_TEST, ISSUE_SLIP]), 5)
    config["mgmt"] = mgmt
    processes.node("n0", config, f'[configuration]\npublishers = ["{source}"]\nservices = ["exam"]\n')
    await wait_ready(listen)
    await asyncio.sleep(1.5)

    async def one(n):
        key = f"key-{n}"
        client = Client(listen)
        await client.send("POST", "/submit-test", f"t{n}", 4000, key=key, body=b"answers")
        answer = await client.answer(4.6)
        record.line(f"client of {key} has {answer}")
        status = answer[0] if answer else None
        counts["served" if status == 200 else "refused" if status in (429, 503) else "failed"] += 1
        client.close()

    async def run(numbers):
        tasks = []
        for n in numbers:
            tasks.append(asyncio.create_task(one(n)))
            await asyncio.sleep(SPACING)
        await asyncio.gather(*tasks)

    await run(range(BEFORE))
    if TROUBLE:
        change = os.path.join(folder, "change.json")
        with open(change, "w", encoding="utf-8") as file:
            json.dump([{"put": {"name": name, "owner": "ops", "body": {"server": {
                "service": "exam", "address": address, "zone": "a", "weight": 2.0 if name in ("s0", "s1") else 1.0}}}}
                for name, address in addresses.items()], file)
        push = [os.path.join(ROOT, "target/release/glenctl"), "configuration", "push", source, change]
        done = await asyncio.to_thread(subprocess.run, push, capture_output=True, text=True, timeout=20)
        record.line(f"operator pushes the servers with their weights: exit {done.returncode}, {done.stdout.strip()}{done.stderr.strip()}")
        if done.returncode != 0:
            raise CannotRun("the change was not taken")
        await asyncio.sleep(1.5)
    await run(range(BEFORE, BEFORE + AFTER))
    for key, all_runs in runs.items():
        if len({cell for cell, _ in all_runs}) > 1:
            breaks.append(f"{key} was carried out {len(all_runs)} times: {all_runs}")
    record.line(f"{counts}")
    if counts["served"] < 0.5 * (BEFORE + AFTER):
        raise CannotRun("too few requests were served")
    return breaks


main(case)
