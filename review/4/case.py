"""Clients that leave, and connections to servers that are reset under requests that have begun: does an attempt begin for a
client that has gone? Three nodes keep work in hand for one another (`[custody]`)."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from rig import *  # noqa: E402,F403

# Bounds of the pages: an attempt may begin 0.1 s after the close, and each time limit on sockets is 50 ms longer.
LATEST_AFTER_CLOSE = 0.1 + 0.05
REQUESTS, SLOW_EACH, SPACING = 100, 20, 0.12
LEAVES_AFTER, RESET_AFTER = 0.4, 0.8

MEMBERS = """
[members]
cluster = "review"
secret = "{secret}"
listen = "127.0.0.1:{port}"
zone = "{zone}"
seeds = [{seeds}]

[custody]
epoch = 1
life_ms = 12500

[[custody.keeper]]
name = "n0"
zone = "a"

[[custody.keeper]]
name = "n1"
zone = "b"

[[custody.keeper]]
name = "n2"
zone = "c"
"""


async def case(record, processes, folder):
    attempts, closed, breaks, served = [], {}, [], [0]

    async def serve(server, request, writer):
        earlier = sum(1 for txn, _, _ in attempts if txn == request.txn)
        attempts.append((request.txn, server.name, request.at))
        record.line(f"server {server.name} begins {request.txn} key {request.key}, attempt {earlier + 1}")
        if "slow" in request.txn and earlier == 0:
            await asyncio.sleep(RESET_AFTER)
            if TROUBLE:
                record.line(f"connection of {server.name} under {request.txn} is reset")
                return reset(writer)
        else:
            await asyncio.sleep(0.15)
        record.line(f"server {server.name} answers {request.txn}")
        writer.write(response(200, b"taken: " + request.txn.encode()))

    discovery = await Discovery().start()
    for n in range(4):
        server = await Server(f"s{n}", serve).start()
        discovery.put(server.name, server.address, block=1 + n // 2)
    secret = os.path.join(folder, "secret")
    with open(secret, "wb") as file:
        file.write(os.urandom(32))
    os.chmod(secret, 0o600)
    ports = [free_udp_port() for _ in range(3)]
    seeds = ", ".join(f'"127.0.0.1:{port}"' for port in ports)
    listens = [f"127.0.0.1:{free_port()}" for _ in range(3)]
    classes = [NEXT_QUESTION, SAVE_ANSWER, SUBMIT_TEST, ISSUE_SLIP]
    for n in range(3):
        operator = MEMBERS.format(secret=secret, port=ports[n], zone="abc"[n], seeds=seeds)
        config = node_config(f"n{n}", discovery.address, listens[n], settings(classes, nodes=3, me=n), 77 + n)
        processes.node(f"n{n}", config, operator)
    for listen in listens:
        await wait_ready(listen)
    # A keeper gives no votes for `life_ms` after its start.
    await asyncio.sleep(13.5)

    async def one(n):
        slow = n % SLOW_EACH == SLOW_EACH - 1
        txn = f"t{n}-slow" if slow else f"t{n}"
        client = Client(listens[n % 3])
        record.line(f"client sends {txn} to n{n % 3}")
        await client.send("POST", "/submit-test", txn, 4000, key=f"key-{n}-{random.getrandbits(64):016x}", body=b"answers")
        if slow:
            await asyncio.sleep(LEAVES_AFTER)
            client.close()
            closed[txn] = now()
            record.line(f"client of {txn} closes its connection")
            return
        answer = await client.answer(4.6)
        record.line(f"client of {txn} has {answer}")
        served[0] += answer is not None and answer[0] == 200
        client.close()

    tasks = []
    for n in range(REQUESTS):
        tasks.append(asyncio.create_task(one(n)))
        await asyncio.sleep(SPACING)
    await asyncio.gather(*tasks)
    await asyncio.sleep(5.0)
    for txn, server, at in attempts:
        if txn in closed and at > closed[txn] + LATEST_AFTER_CLOSE:
            breaks.append(f"{txn}: an attempt at {server} began {at - closed[txn]:.3f} s after its client had closed")
    record.line(f"{served[0]} requests were served, {len(closed)} clients left")
    if served[0] < 0.8 * (REQUESTS - len(closed)):
        raise CannotRun(f"only {served[0]} requests were served")
    return breaks


main(case)
