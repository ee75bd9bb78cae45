"""Discovery is down for 8 s and comes back without a server that still answers: is that server left alone once the news count?

Four nodes, eight servers, and discovery as the operators describe it: one service for all nodes, which works calls in turn and
fails what has waited for 3 s. A call takes it 1.4 s. With TROUBLE=0 it stays up, and tells the removals on the open watches.
"""

import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from rig import *  # noqa: E402,F403

# What discovery has to tell counts as told 6 s after it had it and could be reached; the grace is 0.5 s; limits are 50 ms longer.
LATEST = 6.0 + 0.5 + 0.05
NODES, SERVERS, CALL, MOST_WAIT, DOWN, UP, ROUNDS = 4, 8, 1.4, 3.0, 8.0, 13.0, 4


class QueuedDiscovery(Discovery):
    """Works calls in turn, and fails those that have waited too long; can be down."""

    def __init__(self, record):
        super().__init__()
        self.record, self.call, self.turn, self.writers = record, 0.0, asyncio.Lock(), set()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            message = await read_message(reader)
            if message is None:
                return
            try:
                await asyncio.wait_for(self.turn.acquire(), MOST_WAIT)
            except asyncio.TimeoutError:
                self.record.line("discovery fails a call that has waited for 3 s")
                writer.write(response(503))
                return await writer.drain()
            try:
                await asyncio.sleep(self.call)
            finally:
                self.turn.release()
            target = message[0].split(" ")[1]
            if writer.is_closing() or reader.at_eof():
                return self.record.line("discovery has worked on a call that its node has given up")
            self.record.line(f"discovery answers {target}")
            if "watch=1" not in target:
                writer.write(response(200, json.dumps(self.whole()).encode()))
                return await writer.drain()
            start = int(target.split("from=")[1].split("&")[0])
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                changed = self.changed
                # The whole list; what it doesn't name is gone.
                line = (json.dumps(self.whole()).encode() if start < self.seq else b"") + b"\n"
                start = self.seq
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                try:
                    await asyncio.wait_for(changed.wait(), 2.0)
                except asyncio.TimeoutError:
                    pass
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def go_down(self):
        self.listener.close()
        for writer in list(self.writers):
            reset(writer)

    async def come_back(self):
        self.listener = await asyncio.start_server(self.connection, "127.0.0.1", int(self.address.split(":")[1]))


async def case(record, processes, folder):
    breaks, gone, counts = [], {}, {}

    async def serve(server, request, writer):
        since = request.at - gone[server.name] if server.name in gone else None
        if since is not None:
            record.line(f"server {server.name}, removed, gets {request.txn} {since:.3f} s after discovery could be reached")
            if since > LATEST:
                breaks.append(f"{request.txn} was sent to {server.name} {since:.3f} s after discovery had its removal and could be reached")
        else:
            record.line(f"server {server.name} gets {request.txn}")
        await asyncio.sleep(random.uniform(0.1, 0.2))
        writer.write(response(200, request.txn.encode()))

    discovery = await QueuedDiscovery(record).start()
    listed = []

    async def add(number):
        server = await Server(f"s{number}", serve).start()
        discovery.put(server.name, server.address)
        listed.append(server.name)

    for number in range(SERVERS):
        await add(number)
    listens = [f"127.0.0.1:{free_port()}" for _ in range(NODES)]
    for n in range(NODES):
        classes = [NEXT_QUESTION, SAVE_ANSWER, SUBMIT_TEST, ISSUE_SLIP]
        processes.node(f"n{n}", node_config(f"n{n}", discovery.address, listens[n], settings(classes, nodes=NODES, me=n),
                                            random.getrandbits(60)))
    for listen in listens:
        await wait_ready(listen)
    await asyncio.sleep(2.0)
    discovery.call = CALL
    over = asyncio.Event()

    async def one(number):
        n, count = number % NODES, 0
        client = Client(listens[n])
        while not over.is_set():
            count += 1
            try:
                await client.send("GET", f"/save-answer/{number}-{count}", f"n{n}-c{number}-{count}", 5000)
                answer = await client.answer(6.0)
            except OSError:
                answer = None
            if answer is None:
                client = Client(listens[n])
            record.line(f"client {number} has {answer and answer[0]} for n{n}-c{number}-{count}")
            counts[answer and answer[0]] = counts.get(answer and answer[0], 0) + 1
            await asyncio.sleep(0.05)

    clients = [asyncio.create_task(one(number)) for number in range(2 * NODES)]
    for number in range(ROUNDS):
        if TROUBLE:
            record.line("discovery goes down")
            await discovery.go_down()
            await asyncio.sleep(DOWN)
        name = listed.pop(random.randrange(len(listed)))
        discovery.put(name, discovery.hosts[name]["dial"], health="left")
        if TROUBLE:
            await discovery.come_back()
        gone[name] = now()
        record.line(f"discovery can be reached, and has {name} as removed")
        await asyncio.sleep(UP - 1.0)
        await add(SERVERS + number)
        await asyncio.sleep(1.0)
    over.set()
    await asyncio.gather(*clients)
    record.line(f"answers by status: {counts}")
    if counts.get(200, 0) < 500:
        raise CannotRun("too few requests were served")
    return breaks


main(case, 115.0)
