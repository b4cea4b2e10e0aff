"""A worker stops in the middle of an event; its answer has chunks, the last one included."""
import concurrent.futures
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import stage as s  # noqa: E402

EVENTS, CUT_INSIDE = 10, 5
ROUTES = {"resumable": "/chat/", "not resumable": "/note/"}


def case(trouble, opened):
    stage = s.Stage({"kingston-a": "kingston"}, 2)
    opened.append(stage)
    stage.store.put("op/config", s.config(7, [
        s.route("r-chat", "/chat/", "streaming", "assistant", Resumable=True),
        s.route("r-note", "/note/", "streaming", "assistant"),
    ], [s.service("assistant")]))
    faults = {"cut_inside_event": CUT_INSIDE} if trouble else {}
    s.Worker(stage, "i-a1", "assistant", "kingston-a", stage.address(), **faults).register()
    s.Worker(stage, "i-a2", "assistant", "kingston-a", stage.address()).register()
    stage.start_gateways()
    time.sleep(1.5)

    def ask(kind, number):
        gateway = stage.gateways[number % 2]
        attempt = s.attempt_id()
        answer = s.call(gateway.front, "POST", f"{ROUTES[kind]}events/{EVENTS}/50/chunked", attempt, b"why", 12000,
                        X_Model="m", X_Token_Usage="600,40")
        stage.note(f"client of {attempt} ({kind}, at {gateway.name}): {answer.status}, "
                   f"{'last chunk came' if answer.complete else 'broken off: ' + answer.error}, last event "
                   f"{answer.events()[-1:]}")
        return kind, attempt, answer

    with concurrent.futures.ThreadPoolExecutor(24) as pool:
        asked = [pool.submit(ask, kind, n) for n in range(12) for kind in ROUTES]
        got = [one.result() for one in asked]

    ran = [line for line in stage.runs() if line["what"] in ("run", "cut")]
    for line in ran:
        stage.note(f"{line['worker']} {'runs' if line['what'] == 'run' else 'stops in the middle of an event of'} "
                   f"{line['attempt']}" + (f", after event '{line['resumed_after']}'" if line["what"] == "run" else ""))
    if not ran or trouble and not any(line["what"] == "cut" for line in ran):
        raise s.CouldNotRun("no worker has stopped inside an event")
    broken = []
    for kind, attempt, answer in got:
        if answer.status == 200 and answer.complete:
            numbers = [int(event.split("\n")[0].split(" ")[1]) for event in answer.events()]
            if numbers != list(range(1, EVENTS + 1)) or not answer.body.endswith(b"\n\n"):
                broken.append(f"ORDER: the {kind} stream {attempt} is complete for its client, after event "
                              f"{numbers[-1]} of {EVENTS}, which reads {answer.events()[-1]!r}")
    return broken


s.main(case, FOLDER)
