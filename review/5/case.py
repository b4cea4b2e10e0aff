"""The VM that reads the store for its zone is killed as a worker's entry is removed: the others don't learn."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import world as w  # noqa: E402

CLIENTS = 4  # of each VM
RESTART_S = 0.5  # "a process that exits or is killed is restarted after a short delay"
REMOVED_AFTER_S = 0.2  # after the kill
SERVES_ON_S = 14.0  # DrainMs, and "at times many seconds"


async def client(world, vm, until, sent):
    channel = None
    while w.now() < until:
        if channel is None:
            try:
                channel = await w.Channel.open(vm.front)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.2)
                continue
        attempt = w.attempt_id()
        sent[attempt] = (w.now(), vm)
        result = await channel.call("POST", "/calls/x", w.request_headers(attempt, "key-a", 3000), b"work")
        world.record.write(f"client: {attempt} at {vm.name}: {result.status} "
                           f"{'' if result.whole else result.reason}")
        if not channel.usable:
            channel = None
        await asyncio.sleep(0.1)
    if channel is not None:
        channel.close()


async def find_reader(world):
    """The VM that watches the store."""
    before = dict(world.store.watches)
    await asyncio.sleep(6)
    calls = {vm: world.store.watches[vm.name] - before[vm.name] for vm in world.vms}
    reader = max(calls, key=calls.get)
    if calls[reader] == 0:
        raise w.CouldNotRun("no VM watches the store")
    return reader


async def case(world):
    world.add_vms("riga-a", 3)
    workers = [world.add_worker(f"i-filing-{number}", "filing", "riga-a", slots=6) for number in (1, 2, 3)]
    await world.start(w.config(1))
    sent = {}
    until = w.now() + 6 + 1 + SERVES_ON_S + 2
    clients = [client(world, vm, until, sent) for vm in world.vms for _ in range(CLIENTS)]
    traffic = asyncio.gather(*clients)
    reader = await find_reader(world)
    world.record.say(f"{reader.name} reads the store")
    leaving = max(workers, key=lambda worker: len(worker.arrivals))  # the one in use
    if world.trouble:
        reader.kill()
        await asyncio.sleep(REMOVED_AFTER_S)
    revision = leaving.leave_without_notice()
    removed_at = w.now()
    world.record.say(f"store: the entry of {leaving.id} is removed with revision {revision}")
    if world.trouble:
        await asyncio.sleep(RESTART_S - REMOVED_AFTER_S)
        reader.start()
    await asyncio.sleep(removed_at + SERVES_ON_S - w.now())
    world.record.say(f"worker {leaving.id}: ends")
    await leaving.stop()
    await traffic
    # Only VMs without any disturbance are judged.
    late = {}
    for _, attempt in leaving.arrivals:
        sent_at, vm = sent[attempt]
        if sent_at > removed_at + w.DRAIN_S and not (world.trouble and vm is reader):
            late[vm.name] = late.get(vm.name, 0) + 1
    world.record.say(f"requests sent later than DrainMs after the removal that reached {leaving.id}, by VM: "
                     f"{late}; all requests: {len(sent)}")
    return w.BROKEN if late else w.HELD


w.run_case(case, __file__, {"riga-a": "riga"})
