"""A worker's answer goes on without end inside a chunk header: the gateway's process outgrows its memory."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import world as w  # noqa: E402

TRAFFIC_S = 30
WORKERS = 5  # of which one is faulty
CHANNELS = 48  # of each VM
TROUBLE_AT_S = 8
ENDLESS_MB_PER_S = 80  # of the worker on all channels; its link and the VM's take 125
RESTART_S = 1.0
PAUSE_S = 0.4  # longest, between two requests of a caller
MAX_LOST = 3  # LOST: "more than three times"


class Endless:
    """Bytes that are no answer, without end, until the caller closes; at most so many a second in all."""

    def __init__(self):
        self._next = w.now()

    async def __call__(self, worker, reader, writer, own):
        await asyncio.sleep(worker.first_ms / 1000)
        writer.write(w.head_bytes(200, own + [("Content-Type", "text/event-stream"),
                                              ("Transfer-Encoding", "chunked")]))
        writer.write(w.chunk_bytes(b"id: 1\ndata: a\n\n"))
        block = b"x" * 256 * 1024  # where the header of the next chunk is due
        while True:
            self._next = max(self._next, w.now()) + len(block) / (ENDLESS_MB_PER_S * 1e6)
            await asyncio.sleep(max(0, self._next - w.now()))
            writer.write(block)
            await writer.drain()


async def platform(world, ends):
    """Ends a process that exceeds its memory (DEPLOY.md), and starts it again after a short delay."""

    async def watch(vm):
        highest = 0
        while True:
            await asyncio.sleep(0.02)
            used = vm.memory_mb()
            if used > highest + 20:
                highest = used
                world.record.write(f"VM {vm.name}: uses {used:.0f} MB")
            if used > w.MEMORY_MB or not vm.running():
                ends.append((w.now(), vm))
                world.record.say(f"VM {vm.name}: ended at {used:.0f} MB of {w.MEMORY_MB}")
                vm.kill()
                highest = 0
                await asyncio.sleep(RESTART_S)
                vm.start()

    await asyncio.gather(*(watch(vm) for vm in world.vms))


async def client(world, vm, until, lost, sound):
    channel = None
    while w.now() < until:
        await asyncio.sleep(random.uniform(0, PAUSE_S))  # callers don't keep step
        if channel is None:
            try:
                channel = await w.Channel.open(vm.front)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.2)
                continue
        attempt = w.attempt_id()
        kept, first_process = channel.requests > 0, vm.starts == 1
        result = await channel.call("POST", "/streams/x", w.request_headers(attempt, "key-a", 12000, 1000),
                                    b"prompt")
        world.record.write(f"client: {attempt} at {vm.name}, {'kept' if kept else 'new'} channel: "
                           f"{result.status} {'whole' if result.whole else result.reason}")
        # Passed on to a sound worker from a kept channel that closed without an answer. Only the first end of
        # a process is judged: until then its VM is in touch, whatever a restart means.
        passed_on = any(attempt == ran for worker in sound for _, ran in worker.arrivals)
        if kept and first_process and result.status is None and passed_on:
            lost.append(attempt)
            world.record.write(f"lost: {attempt}")
        if not channel.usable:
            channel = None
            await asyncio.sleep(0.1)
    if channel is not None:
        channel.close()


async def case(world):
    world.add_vms("riga-a", 2)
    workers = [world.add_worker(f"i-drafter-{number}", "drafter", "riga-a", first_ms=700, events=10,
                                event_ms=30) for number in range(WORKERS)]
    faulty, sound = workers[0], workers[1:]
    await world.start(w.config(1))
    ends, lost = [], []
    watching = asyncio.create_task(platform(world, ends))
    until = w.now() + TRAFFIC_S
    clients = [client(world, vm, until, lost, sound) for vm in world.vms for _ in range(CHANNELS)]
    traffic = asyncio.gather(*clients)
    await asyncio.sleep(TROUBLE_AT_S)
    if world.trouble:
        world.record.say(f"worker {faulty.id}: its answers have no end from now on")
        faulty.fault = Endless()
    await traffic
    watching.cancel()
    ran = sum(len(worker.arrivals) for worker in sound)
    world.record.say(f"requests run: {ran} at the sound workers, {len(faulty.arrivals)} at the faulty one; "
                     f"processes that exceeded their memory: {len(ends)}; requests of kept channels, passed on "
                     f"to sound workers and closed unanswered at the first end of each process: {len(lost)}")
    if ran == 0:
        return w.NOT_RUN
    return w.BROKEN if len(lost) > MAX_LOST else w.HELD


w.run_case(case, __file__, {"riga-a": "riga"})
