"""The store comes back from a copy some seconds old: VMs pass over what is written afterwards."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import world as w  # noqa: E402

ROLLOUT = (11, 12, 13, 14)  # versions in quick succession
ROLLOUT_GAP_S = 0.5
AWAY_S = 1.0  # "for a moment"; the copy is then 3 s old
REVOKED_AFTER_S = 8.0  # longer than ContactMs: the store is stable again
# ConfigMs, and OuterMs besides, though the store is stable.
JUDGED_AFTER_S = w.CONFIG_S + 10 + 1


async def call(world, vm, key):
    attempt = w.attempt_id()
    try:
        channel = await w.Channel.open(vm.front)
    except (OSError, asyncio.TimeoutError):
        world.record.write(f"client: {attempt} {key} at {vm.name}: no channel")
        return None
    result = await channel.call("POST", "/calls/x", w.request_headers(attempt, key, 3000), b"work")
    channel.close()
    world.record.write(f"client: {attempt} {key} at {vm.name}: {result.status} {result.reason}")
    return result.status


async def background(world):
    while True:
        for vm in world.vms:
            await call(world, vm, "key-a")
        await asyncio.sleep(0.3)


async def case(world):
    both = ("key-a", "key-b")
    world.add_vms("riga-a", 3)
    for number in (1, 2):
        world.add_worker(f"i-filing-{number}", "filing", "riga-a")
    await world.start(w.config(10, both))
    traffic = asyncio.create_task(background(world))
    before = [await call(world, vm, "key-b") for vm in world.vms]
    if before != [200] * len(world.vms):
        raise w.CouldNotRun(f"the key isn't accepted at first: {before}")
    copy = world.store.copy()
    for version in ROLLOUT:
        world.store.put("op/config", w.config(version, both))
        await asyncio.sleep(ROLLOUT_GAP_S)
    if world.trouble:
        world.record.say(f"store: away at revision {world.store.revision}")
        world.store.go_away()
        await asyncio.sleep(AWAY_S)
        world.store.restore(copy)
        world.store.come_back()
        world.record.say(f"store: back from a copy at revision {world.store.revision}")
        await asyncio.sleep(0.3)
        world.store.put("op/config", w.config(ROLLOUT[-1], both))  # what the operator wrote
    await asyncio.sleep(REVOKED_AFTER_S)
    revision = world.store.put("op/config", w.config(15, ("key-a",)))
    world.record.say(f"operator: version 15 takes key-b away, acknowledged with revision {revision}")
    await asyncio.sleep(JUDGED_AFTER_S)
    stale = {}
    for _ in range(10):
        for vm in world.vms:
            status = await call(world, vm, "key-b")
            if status == 200:
                stale[vm.name] = stale.get(vm.name, 0) + 1
        await asyncio.sleep(0.5)
    after = [await call(world, vm, "key-a") for vm in world.vms]
    traffic.cancel()
    world.record.say(f"requests with the withdrawn key that ran, later than {JUDGED_AFTER_S:.0f} s after the "
                     f"acknowledgement: {stale}; with the other key: {after}")
    return w.BROKEN if stale else w.HELD


w.run_case(case, __file__, {"riga-a": "riga"})
