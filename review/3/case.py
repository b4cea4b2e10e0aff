"""A planned stop cuts streams that have neither length nor chunks as if they were complete."""
import asyncio
import os
import re
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import world as w  # noqa: E402

CLIENTS = 20
EVENTS = 60
EVENT_S = 0.18  # the sheet allows pauses of 0.3 s; a stream takes 10.9 s of its 12 s
STOPPED_AFTER_S = 1.5
GRACE_S = 8


async def unframed(worker, reader, writer, own):
    """An answer with neither a length nor chunks, which ends with its channel."""
    writer.write(w.head_bytes(200, own + [("Content-Type", "text/event-stream"), ("Connection", "close")]))
    for number in range(1, EVENTS + 1):
        writer.write(f"id: {number}\ndata: {worker.version} {worker.id}\n\n".encode())
        await writer.drain()
        await asyncio.sleep(EVENT_S)


async def client(world, vm, cut, whole, broken):
    """`cut`: streams that ended in order, at the end of an event, before their last one."""
    try:
        channel = await w.Channel.open(vm.front)
    except (OSError, asyncio.TimeoutError):
        return
    attempt = w.attempt_id()
    result = await channel.call("POST", "/streams/x", w.request_headers(attempt, "key-a", 12000, 300), b"prompt")
    channel.close()
    text = result.body.decode("latin-1")
    events = re.findall(r"id: (\d+)\ndata: \S+ \S+\n\n", text)
    framed = "transfer-encoding" in result.headers or "content-length" in result.headers
    looks_complete = result.status == 200 and result.whole and text.endswith("\n\n")
    world.record.write(f"client: {attempt} at {vm.name}: {result.status} {'framed' if framed else 'unframed'}, "
                       f"{len(events)} events, {'ended in order' if looks_complete else 'broken off'} "
                       f"{result.reason}")
    if len(events) == EVENTS:
        whole.append(attempt)
    elif looks_complete:
        cut.append(attempt)
    else:
        broken.append(attempt)


async def case(world):
    world.add_vms("riga-a", 2)
    for number in (1, 2):
        world.add_worker(f"i-drafter-{number}", "drafter", "riga-a").fault = unframed
    await world.start(w.config(1))
    cut, whole, broken = [], [], []
    clients = asyncio.gather(*(client(world, world.vms[number % 2], cut, whole, broken)
                               for number in range(CLIENTS)))
    await asyncio.sleep(STOPPED_AFTER_S)
    if world.trouble:
        stopped = world.vms[0]
        stopped.process.send_signal(signal.SIGTERM)
        world.record.say(f"VM {stopped.name}: SIGTERM")
        until = w.now() + GRACE_S
        while stopped.running() and w.now() < until:
            await asyncio.sleep(0.02)
        world.record.say(f"VM {stopped.name}: " + ("killed" if stopped.running() else
                                                   f"ended by itself {until - w.now():.1f} s before the kill"))
        stopped.end()
    await clients
    world.record.say(f"streams: {CLIENTS}, whole: {len(whole)}, known to be broken off: {len(broken)}, ended in "
                     f"order before their last event: {len(cut)}")
    if len(whole) == 0:
        return w.NOT_RUN
    return w.BROKEN if cut else w.HELD


w.run_case(case, __file__, {"riga-a": "riga"})
