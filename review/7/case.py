"""A worker stops in the middle of an event; its answer has chunks, the last one included."""
import concurrent.futures
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import stage as s  # noqa: E402

EVENTS, CUT_INSIDE = 10, 5
CUT_EVERY = 34  # 0.029 of the answers of one of two workers; `garble`: x up to 0.03, share up to 0.6
PER_S, FOR_S = 80, 5.0
ROUTES = {"resumable": "/chat/", "not resumable": "/note/"}


def case(trouble, opened):
    stage = s.Stage({"kingston-a": "kingston"}, 2)
    opened.append(stage)
    stage.store.put("op/config", s.config(7, [
        s.route("r-chat", "/chat/", "streaming", "assistant", Resumable=True),
        s.route("r-note", "/note/", "streaming", "assistant"),
    ], [s.service("assistant")]))
    faults = {"cut_every": CUT_EVERY, "cut_inside_event": CUT_INSIDE} if trouble else {}
    s.Worker(stage, "i-a1", "assistant", "kingston-a", stage.address(), **faults).register()
    s.Worker(stage, "i-a2", "assistant", "kingston-a", stage.address()).register()
    stage.start_gateways()
    time.sleep(1.5)

    def ask(kind, number):
        gateway = stage.gateways[number % 2]
        attempt = s.attempt_id()
        answer = s.call(gateway.front, "POST", f"{ROUTES[kind]}events/{EVENTS}/20/chunked", attempt, b"why", 12000,
                        X_Model="m", X_Token_Usage="600,40")
        stage.note(f"client of {attempt} ({kind}, at {gateway.name}): {answer.status}, "
                   f"{'last chunk came' if answer.complete else 'broken off: ' + answer.error}, last event "
                   f"{answer.events()[-1:]}")
        return kind, attempt, answer

    with concurrent.futures.ThreadPoolExecutor(60) as pool:
        asked = []
        for number in range(int(PER_S * FOR_S)):
            asked.append(pool.submit(ask, list(ROUTES)[number // 2 % 2], number))
            time.sleep(1 / PER_S)
        got = [one.result() for one in asked]

    ran = [line for line in stage.runs() if line["what"] in ("run", "cut")]
    for line in ran:
        stage.note(f"{line['worker']} {'runs' if line['what'] == 'run' else 'stops in the middle of an event of'} "
                   f"{line['attempt']}" + (f", after event '{line['resumed_after']}'" if line["what"] == "run" else ""), line["at"])
    begun = sum(line["what"] == "run" and line["worker"] == "i-a1" and not line["resumed_after"] for line in ran)
    cuts = sum(line["what"] == "cut" for line in ran)
    stage.note(f"i-a1 has begun {begun} of {len(asked)} streams and broken off {cuts}")
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
