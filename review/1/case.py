"""A second answer that comes some milliseconds late: is it given to the client of the next request?

One node and one server in another data centre; the way between them takes 10 ms. A server sends a second copy of an
answer a few milliseconds after the first, and only if nothing else waits on that connection at its end. With and without
that, it turns away one request in fifty, as a server does whose queue is full. Checked is that each 200 has the body that was
made for its request, and that no `issue-slip` is carried out twice.
"""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from rig import *  # noqa: E402,F403

ONE_WAY = 0.010  # The brief: 7 to 13 ms one way between data centres.
SERVERS, SLOTS, CLIENTS, SECONDS, QUIET = 1, 16, 12, 45.0, 13.0
LATE = (0.004, 0.010)
# Of the requests: `next-question` to `issue-slip` as 44 to 12.
SLIPS, TURNED_AWAY = 12 / 56, 0.02


class Delay:
    """One direction of a way that takes `ONE_WAY`."""

    def __init__(self, deliver):
        self.queue, self.deliver = asyncio.Queue(), deliver
        self.task = asyncio.create_task(self.run())

    def put(self, data):
        self.queue.put_nowait((now() + ONE_WAY, data))

    async def run(self):
        while True:
            at, data = await self.queue.get()
            await asyncio.sleep(max(0.0, at - now()))
            if await self.deliver(data) is False:
                return


class Way:
    """A proxy before one server, with the delay in both directions."""

    def __init__(self, to):
        self.to, self.address = to, None

    async def start(self):
        listener = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % listener.sockets[0].getsockname()[1]
        return self

    async def connection(self, reader, writer):
        host, _, port = self.to.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        for one in (writer, far_writer):
            one.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        async def pump(source, sink):
            async def deliver(data):
                if not data:
                    sink.close()
                    return False
                sink.write(data)
                await sink.drain()
                return True
            delay = Delay(deliver)
            try:
                while True:
                    data = await source.read(65536)
                    delay.put(data)
                    if not data:
                        break
            except (ConnectionError, OSError):
                delay.put(b"")

        await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))


async def case(record, processes, folder):
    ran, breaks, served, refused, second = {}, [], [0], [0], [0]
    last_second = [now()]
    waiting, slots = {}, {f"s{n}": asyncio.Semaphore(SLOTS) for n in range(SERVERS)}

    async def serve(server, request, writer):
        waiting[writer] = waiting.get(writer, 0) + 1
        async with slots[server.name]:
            await asyncio.sleep(random.uniform(0.025, 0.045))
        waiting[writer] -= 1
        if random.random() < TURNED_AWAY:
            answer = response(503, headers=[("X-Turned-Away", "1")])
            record.line(f"server {server.name} turns {request.txn} away")
        else:
            ran.setdefault(request.txn, []).append(f"{request.at:.4f}")
            record.line(f"server {server.name} carries out and answers {request.txn}")
            answer = response(200, b"for " + request.txn.encode())
        writer.write(answer)
        if TROUBLE and now() - last_second[0] >= QUIET:
            last_second[0] = now()

            async def again():
                late = random.uniform(*LATE)
                await asyncio.sleep(late)
                # Right behind, when nothing else waits on the connection.
                if waiting[writer] == 0 and not writer.is_closing():
                    second[0] += 1
                    record.line(f"server {server.name} sends its answer to {request.txn} a second time, {late * 1000:.1f} ms late")
                    writer.write(answer)
                else:
                    last_second[0] = -QUIET
            asyncio.create_task(again())

    discovery = await Discovery().start()
    for n in range(SERVERS):
        server = await Server(f"s{n}", serve).start()
        way = await Way(server.address).start()
        discovery.put(server.name, way.address, block=1 + n // 2, site="ab"[n % 2])
    listen = f"127.0.0.1:{free_port()}"
    classes = [NEXT_QUESTION, SAVE_ANSWER, SUBMIT_TEST, ISSUE_SLIP]
    processes.node("n0", node_config("n0", discovery.address, listen, settings(classes), 99))
    await wait_ready(listen)
    last_second[0] = now() - QUIET + 5.0
    end = now() + SECONDS

    async def one(number):
        client, n = Client(listen), 0
        while now() < end:
            n += 1
            txn = f"c{number}-{n}"
            if random.random() < SLIPS:
                txn += "-slip"
            record.line(f"client {number} sends {txn}")
            if txn.endswith("-slip"):
                await client.send("POST", f"/issue-slip/{number}/{n}", txn, 6000, body=b"slip")
            else:
                await client.send("GET", f"/next-question/{number}/{n}", txn, 1200)
            answer = await client.answer(6.6)
            record.line(f"client {number} has {answer} for {txn}")
            if answer is not None and answer[0] == 200:
                served[0] += 1
                if answer[1] != b"for " + txn.encode():
                    text = f"{txn} was answered with {answer[1].decode()!r}"
                    breaks.append(text)
            if answer is not None and answer[0] == 503:
                refused[0] += 1
                await asyncio.sleep(0.06)

    await asyncio.gather(*(one(number) for number in range(CLIENTS)))
    foreign = len(breaks)
    for txn, times in ran.items():
        if txn.endswith("-slip") and len(times) > 1:
            breaks.append(f"{txn} was carried out {len(times)} times, at {', '.join(times)}")
    record.line(f"{foreign} foreign answers, {len(breaks) - foreign} slips carried out more than once")
    record.line(f"{served[0]} requests were served, {refused[0]} refused; {second[0]} answers were sent a second time")
    if served[0] < 1000:
        raise CannotRun("too few requests were served")
    return breaks


main(case)
