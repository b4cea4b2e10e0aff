"""The two machines of a zone are restarted one after the other; streams that the stops cut are taken up again."""
import concurrent.futures
import os
import random
import signal
import subprocess
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import stage as s  # noqa: E402

EVENTS, GAP_MS, BUDGET_MS = 49, 230, 12000  # within the route's TimeoutMs and the pause of 300 ms
GRACE_S, CONTACT_S, BETWEEN_S = 8.0, 6.0, 1.0
PER_S = 5.0


def case(trouble, opened):
    stage = s.Stage({"kingston-a": "kingston"}, 2)
    opened.append(stage)
    stage.store.put("op/config", s.config(7, [
        s.route("r-chat", "/chat/", "streaming", "assistant", Resumable=True)], [s.service("assistant")]))
    for name in ("i-a1", "i-a2"):
        s.Worker(stage, name, "assistant", "kingston-a", stage.address(), slots=64).register()
    stage.start_gateways()
    up_since = {gateway.name: time.monotonic() for gateway in stage.gateways}
    time.sleep(20)  # both machines have run for long
    new, taken_up, lock, over = [], [], threading.Lock(), threading.Event()

    def entry():
        """What the directory would name: a machine that is ready."""
        ready = [gateway for gateway in stage.gateways if gateway.ready()]
        return random.choice(ready) if ready else None

    def client():
        began, attempt, gateway = time.monotonic(), s.attempt_id(), entry()
        if gateway is None:
            return
        answer = s.call(gateway.front, "POST", f"/chat/events/{EVENTS}/{GAP_MS}/chunked", attempt, b"why", BUDGET_MS,
                        X_Model="m", X_Token_Usage="600,49")
        with lock:
            new.append(bool(answer.events()))
        first, events = attempt, answer.body.decode().split("\n\n")[:-1]
        if answer.complete or not events:
            return
        last = events[-1].split("\n")[0].split(" ")[1]
        stage.note(f"{attempt} was cut at {gateway.name} after event {last} of {EVENTS}")
        goes_on, in_touch, tries, wait = False, False, 0, 0.05
        while tries < 4 and not goes_on:
            time.sleep(wait)
            left = BUDGET_MS - int((time.monotonic() - began) * 1000)
            if left <= 100:
                break
            gateway = entry()
            if gateway is None:
                wait = 0.3
                continue
            tries += 1
            touch = time.monotonic() - up_since[gateway.name] > CONTACT_S
            attempt = s.attempt_id()
            again = s.call(gateway.front, "POST", f"/chat/events/{EVENTS}/{GAP_MS}/chunked", attempt, b"why", left,
                           X_Model="m", X_Token_Usage="600,49", Last_Event_Id=last, Resumes=first)
            goes_on = bool(again.events()) and again.status == 200
            in_touch = in_touch or touch
            wait = min(float(again.headers.get("retry-after", "0.3")), left / 3000)
            stage.note(f"{first} is taken up as {attempt} at {gateway.name} ({'in touch' if touch else 'not in touch'}, "
                       f"up for {time.monotonic() - up_since[gateway.name]:.1f} s, {left} ms left): {again.status}"
                       + ("" if goes_on else f", Retry-After {again.headers.get('retry-after')}, {again.body[:160]!r}"))
        with lock:
            taken_up.append((in_touch, goes_on))

    def clients(pool):
        while not over.is_set():
            pool.submit(client)
            time.sleep(1 / PER_S)

    with concurrent.futures.ThreadPoolExecutor(200) as pool:
        arrivals = threading.Thread(target=clients, args=(pool,))
        arrivals.start()
        time.sleep(1)  # the traffic has just begun to rise
        for gateway in stage.gateways:
            if not trouble:
                time.sleep(GRACE_S)
                continue
            gateway.process.send_signal(signal.SIGTERM)
            stage.note(f"SIGTERM to {gateway.name}")
            try:
                gateway.process.wait(GRACE_S)
            except subprocess.TimeoutExpired:
                gateway.process.kill()
                gateway.process.wait()
            stage.note(f"{gateway.name} has ended")
            up_since[gateway.name] = time.monotonic()
            gateway.start()
            s.wait_for(gateway.ready, 20, f"{gateway.name} isn't ready again")
            stage.note(f"{gateway.name} is ready again")
            time.sleep(BETWEEN_S)
        over.set()
        arrivals.join()

    counted = [goes_on for in_touch, goes_on in taken_up if in_touch]
    begun = sum(new) / max(1, len(new))
    stage.note(f"new streams: {len(new)}, {begun:.0%} of them begin; taken up at machines in touch: {len(counted)}, "
               f"{sum(counted)} of them go on; workers of their version that serve: 2")
    if len(new) < 12:
        raise s.CouldNotRun("too few streams")
    if len(counted) >= 12 and sum(counted) / len(counted) < begun / 2:
        return [f"LOST: of {len(counted)} streams that clients took up at machines in touch {sum(counted)} went on; "
                f"of {len(new)} new ones {begun:.0%} began"]
    return []


s.main(case, FOLDER)
