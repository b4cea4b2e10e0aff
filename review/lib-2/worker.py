"""A worker of the platform, as one process: speaks the HTTP/1.1 of the users' PROTOCOL page.

Usage: worker.py SPEC, SPEC being a JSON object: id, address, port, version, slots, log, and the faults that the case
asks for (`cut_every`, `cut_inside_event`: of so many streams that it begins, one stops inside its event of that number,
with its last chunk;
`crash_after_ms`: the process kills itself so long after the first stream has begun; `cold_from`, `cold_s`, `falls_at`:
from that second of the system's steady clock on, for so long, it is cold, and falls over at so many requests in one
second).

What a request gets is asked for in its path:
  /.../plain/PIECES/GAP_MS/FRAME     a body of PIECES pieces of 100 bytes, one every GAP_MS
  /.../events/COUNT/GAP_MS/FRAME     a stream of COUNT events, one every GAP_MS
FRAME: chunked, length, or none (neither length nor chunks: the end of the connection ends the answer).
Each run is a line of the log: what was asked for, when it began, and the body that a whole answer has.
"""
import hashlib
import json
import os
import signal
import socket
import sys
import threading
import time

SPEC = json.loads(sys.argv[1])
LOCK = threading.Lock()
LOG = open(SPEC["log"], "a", encoding="utf-8")
RUNNING = 0
FIRST_STREAM = None
SLOTS = threading.BoundedSemaphore(SPEC["slots"])  # further requests wait


def note(**fields):
    with LOCK:
        LOG.write(json.dumps({"at": time.time(), "worker": SPEC["id"], "version": SPEC["version"], **fields}) + "\n")
        LOG.flush()


def event(number, count, attempt):
    return f"id: {number}\ndata: {SPEC['version']} {number}/{count} of {SPEC['id']}\n\n".encode()


def piece(number, attempt):
    text = f"{attempt} {number:04d} "
    return (text + "x" * (99 - len(text)) + "\n").encode()


class Channel:
    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def fill(self):
        got = self.sock.recv(65536)
        if not got:
            raise ConnectionError("closed")
        self.data += got

    def read_request(self):
        while b"\r\n\r\n" not in self.data:
            self.fill()
        head, self.data = self.data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers.setdefault(name.lower(), value.strip())
        length = int(headers.get("content-length", "0"))
        while len(self.data) < length:
            self.fill()
        body, self.data = self.data[:length], self.data[length:]
        return method, target, headers, body

    def answer_at_once(self, status, reason, headers, body=b""):
        lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def crash_later():
    time.sleep(SPEC["crash_after_ms"] / 1000)
    note(what="crash")
    os.kill(os.getpid(), signal.SIGKILL)


BEGUN = 0  # streams, for `cut_every`
COLD = []  # times of the requests that came while it was cold


def count_cold():
    now = time.monotonic()
    if not 0 <= now - SPEC.get("cold_from", 1e18) < SPEC.get("cold_s", 0):
        return
    with LOCK:
        COLD.append(now)
        lately = sum(now - at < 1 for at in COLD)
    if lately >= SPEC["falls_at"]:
        note(what="falls", requests=lately)
        os.kill(os.getpid(), signal.SIGKILL)


def run(channel, method, target, headers, body):
    """Answers one request. False when the connection ends with it."""
    global RUNNING, FIRST_STREAM, BEGUN
    attempt = headers.get("x-attempt-id", "")
    if target.startswith("/health"):
        fields = {"X-Instance-Id": SPEC["id"], "X-Server-Load": f"{RUNNING},0,{SPEC['slots']}"}
        left = SPEC.get("cold_from", 1e18) + SPEC.get("cold_s", 0) - time.monotonic()
        if 0 < left <= SPEC.get("cold_s", 0):
            fields["X-Cold-Ms"] = str(int(left * 1000))
        channel.answer_at_once(200, "OK", fields)
        return True
    if headers.get("x-expect-instance", SPEC["id"]) != SPEC["id"]:
        note(what="other_instance", attempt=attempt)
        channel.answer_at_once(421, "Misdirected Request", {"X-Attempt-Id": attempt, "X-Not-Executed": "1"})
        return True
    kind, count, gap, frame = target.split("?")[0].split("/")[-4:]
    count, gap = int(count), int(gap) / 1000
    parts = []
    first = 1
    if kind == "events":
        first = int(headers.get("last-event-id", "0")) + 1
        parts = [event(number, count, attempt) for number in range(first, count + 1)]
    else:
        parts = [piece(number, attempt) for number in range(1, count + 1)]
    whole = b"".join(parts)
    digest = hashlib.sha256(whole).hexdigest()[:8]
    note(what="arrival", attempt=attempt, steady=time.monotonic())
    count_cold()
    SLOTS.acquire()
    note(what="run", attempt=attempt, method=method, target=target, body=hashlib.sha256(body).hexdigest()[:8],
         tenant=headers.get("x-tenant", ""), resumed_after=headers.get("last-event-id", ""), whole=digest,
         length=len(whole), whole_body=whole.decode())
    with LOCK:
        RUNNING += 1
    try:
        if SPEC.get("crash_after_ms") and kind == "events":
            with LOCK:
                begin, FIRST_STREAM = FIRST_STREAM is None, True
            if begin:
                threading.Thread(target=crash_later, daemon=True).start()
        lines = ["HTTP/1.1 200 OK", f"X-Attempt-Id: {attempt}", f"X-Server-Load: {RUNNING},0,{SPEC['slots']}",
                 f"X-Server-Stamp: {SPEC['id']}.{SPEC['version']}.{len(whole)}.{digest}"]
        lines.append("Content-Type: " + ("text/event-stream" if kind == "events" else "application/octet-stream"))
        lines += {"chunked": ["Transfer-Encoding: chunked"], "length": [f"Content-Length: {len(whole)}"],
                  "none": ["Connection: close"]}[frame]
        channel.sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())

        def send(data):
            channel.sock.sendall(b"%x\r\n%s\r\n" % (len(data), data) if frame == "chunked" else data)

        cut = False
        if kind == "events" and first == 1 and SPEC.get("cut_every"):
            with LOCK:
                BEGUN += 1
                cut = BEGUN % SPEC["cut_every"] == 0
        for place, part in enumerate(parts):
            time.sleep(gap)
            if cut and SPEC["cut_inside_event"] == first + place:
                send(part[: len(part) // 2])
                note(what="cut", attempt=attempt)
                break
            send(part)
        if frame == "chunked":
            channel.sock.sendall(b"0\r\n\r\n")
        note(what="end", attempt=attempt)
        return frame != "none"
    finally:
        with LOCK:
            RUNNING -= 1
        SLOTS.release()


def serve(sock):
    channel = Channel(sock)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        while run(channel, *channel.read_request()):
            pass
    except (ConnectionError, OSError):
        pass
    finally:
        sock.close()


def main():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((SPEC["address"], SPEC["port"]))
    listener.listen(256)
    note(what="start", born=SPEC["born"])
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


main()
