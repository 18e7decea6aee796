"""Stand-in of a server: a model engine (stage prefill or decode) or a plain server (stage none).

Usage: server.py ID IP:PORT SERVICE STAGE STORE RUNS [KEY=VALUE...]. It registers itself in the store, renews its entry,
and appends each run to the file RUNS. Keys: events, bytes, gap_ms (of a stream), framed (0: answers end with their
connection), work_ms (of a plain request), copy_ms (of copying a run to another engine). SIGUSR1: it leaves, as it tells
the store, and goes on serving. SIGUSR2: it has no room, or has room again.
"""

import hashlib
import http.client
import json
import os
import secrets
import signal
import socket
import sys
import threading
import time

ID, ADDRESS, SERVICE, STAGE, STORE, RUNS = sys.argv[1:7]
OPTIONS = {"events": 130, "bytes": 400, "gap_ms": 10, "framed": 1, "work_ms": 15, "version": 1, "copy_ms": 200}
OPTIONS.update((k, int(v)) for k, v in (option.split("=") for option in sys.argv[7:]))
BORN = int(time.time() * 1000)
STATE = {"stage": STAGE, "busy": False, "orders": 0, "beat": 0, "state": "ready", "full": False}
RUNNING, STOPPED = {}, {}
CHANGED = threading.Event()
LOG = os.open(RUNS, os.O_WRONLY | os.O_APPEND | os.O_CREAT)


def log(**fields):
    line = {"at": round(time.time(), 3), "server": ID, "born": BORN, **fields}
    os.write(LOG, (json.dumps(line) + "\n").encode())


def entry():
    STATE["beat"] += 1
    spec = {
        "service": SERVICE,
        "address": ADDRESS,
        "zone": "mvd-a",
        "version": f"v{OPTIONS['version']}",
        "slots": 12 if STAGE != "none" else 6,
        "state": STATE["state"],
        "cold_remaining_ms": 0,
        "sequence": STATE["beat"],
        "born": BORN,
    }
    if STAGE != "none":
        spec["stage"] = STATE["stage"]
        spec["models"] = [{"name": "m", "version": OPTIONS["version"], "adapters": []}]
    return {"metadata": {"name": ID}, "spec": spec}


def register():
    while True:
        CHANGED.clear()
        try:
            store = http.client.HTTPConnection(STORE, timeout=2)
            body = json.dumps(entry())
            store.request("PUT", f"/walnuthaven/objects/servers/{ID}", body)
            if store.getresponse().status == 404:
                store.close()
                store.request("POST", "/walnuthaven/objects/servers", body)
                store.getresponse().read()
            store.close()
        except OSError:
            pass
        CHANGED.wait(1.2)


def leave(*_):
    STATE["state"] = "draining"
    CHANGED.set()
    log(what="leaves")


def fill(*_):
    STATE["full"] = not STATE["full"]
    log(what="room", full=STATE["full"])


def move(sock, body):
    """Copies a run to another engine, and stops it before that if the call asks for it."""
    wanted = json.loads(body)
    run, is_last = wanted["id"], bool(wanted.get("last"))
    if run not in RUNNING:
        return answer(sock, 404, b"{}")
    if is_last:
        STOPPED[run] = secrets.token_hex(6)
        log(what="stopped", id=run)
    time.sleep(OPTIONS["copy_ms"] / 1000)
    other = http.client.HTTPConnection(wanted["to"], timeout=2)
    other.request("GET", "/stand-in/room")
    has_room = other.getresponse().status == 200
    other.close()
    handle = STOPPED.get(run) or f"copy-{run}"
    value = {"cache_handle": handle, "create_revision": RUNNING.get(run, 0)}
    status = 200 if has_room else 503
    log(what="copied", id=run, last=is_last, status=status)
    return answer(sock, status, json.dumps(value if has_room or is_last else {}).encode())


def read_request(reader):
    line = reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while (line := reader.readline()) not in (b"\r\n", b""):
        name, value = line.decode().split(":", 1)
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return method, target, headers, body


def head(status, headers, request_id):
    lines = [f"HTTP/1.1 {status} X"]
    if request_id:
        lines.append(f"X-Request-Id: {request_id}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer(sock, status, body, request_id=None, **headers):
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    named["Content-Length"] = len(body)
    sock.sendall(head(status, named, request_id) + body)


def switch(stage):
    time.sleep(1)
    STATE["stage"] = stage
    STATE["busy"] = False


def order(sock, body):
    wanted = json.loads(body)
    if "holder" not in wanted or "fence" not in wanted or wanted.get("op") != "stage":
        return answer(sock, 400, b"{}")
    if STATE["stage"] == wanted["stage"]:
        return answer(sock, 200, b"{}")
    if STATE["busy"] or wanted.get("precondition", STATE["orders"]) != STATE["orders"]:
        return answer(sock, 409, b"{}")
    STATE["busy"] = True
    STATE["orders"] += 1
    log(what="order", holder=wanted["holder"], fence=wanted["fence"], stage=wanted["stage"])
    threading.Thread(target=switch, args=(wanted["stage"],), daemon=True).start()
    return answer(sock, 202, b"{}")


def report(sock):
    value = {
        "stage": STATE["stage"],
        "models": [{"name": "m", "version": OPTIONS["version"], "adapters": []}],
        "busy": STATE["busy"],
        "sequence": STATE["orders"],
        "waiting": 0,
        "running": 0,
        "kv_used": 0,
        "kv_total": 66796,
        "handles": 0,
        "state": STATE["state"],
        "runs": [],
        "born": BORN,
    }
    answer(sock, 200, json.dumps(value).encode(), Content_Type="application/json")


def stamp(request_id):
    return hashlib.sha256(f"{ID} {BORN} {request_id}".encode()).hexdigest()[:16]


def event(number):
    text = f"id: {number}\ndata: v{OPTIONS['version']} {number} of {OPTIONS['events']} "
    return (text + "x" * (OPTIONS["bytes"] - len(text) - 2) + "\n\n").encode()


def stream(sock, headers, request_id):
    """Streams the events after the last one that the client has. Returns whether the connection is kept."""
    first = int(headers.get("last-event-id", 0)) + 1
    framed = OPTIONS["framed"] == 1
    named = {"Content-Type": "text/event-stream", "X-Server-Stamp": stamp(request_id)}
    named["X-Weight-Versions"] = OPTIONS["version"]
    named.update({"Transfer-Encoding": "chunked"} if framed else {"Connection": "close"})
    log(what="run", id=request_id, first=first)
    STOPPED.pop(request_id, None)
    sock.sendall(head(200, named, request_id))
    for number in range(first, OPTIONS["events"] + 1):
        time.sleep(OPTIONS["gap_ms"] / 1000)
        if request_id in STOPPED:
            RUNNING.pop(request_id, None)
            return False
        RUNNING[request_id] = number
        data = event(number)
        sock.sendall(f"{len(data):x}\r\n".encode() + data + b"\r\n" if framed else data)
        if number % 10 == 0:
            log(what="sent", id=request_id, event=number)
    RUNNING.pop(request_id, None)
    if framed:
        sock.sendall(b"0\r\n\r\n")
    log(what="end", id=request_id)
    return framed


def run_plain(sock, headers, target, request_id):
    seen = {name: headers.get(name) for name in ("x-tenant", "authorization", "x-model")}
    log(what="run", id=request_id, target=target, headers=seen)
    time.sleep(OPTIONS["work_ms"] / 1000)
    body = (request_id + " ").encode() * 20
    answer(sock, 200, body, request_id, X_Server_Stamp=stamp(request_id))


def handle(sock, method, target, headers, body):
    """Answers a request. Returns whether the connection is kept."""
    request_id = headers.get("x-request-id")
    if headers.get("x-expect-instance", ID) != ID:
        answer(sock, 421, b"", request_id, X_Not_Executed="1")
    elif target == "/health":
        answer(sock, 200, b"", X_Instance_Id=ID)
    elif target == "/walnuthaven/report":
        report(sock)
    elif target == "/walnuthaven/order":
        order(sock, body)
    elif target == "/walnuthaven/kv-move":
        move(sock, body)
    elif target == "/stand-in/room":
        answer(sock, 503 if STATE["full"] else 200, b"{}")
    elif target.startswith("/walnuthaven/"):
        answer(sock, 200 if method == "DELETE" else 404, b"{}")
    elif STATE["full"]:
        log(what="refused", id=request_id, source=headers.get("x-kv-source"))
        answer(sock, 503, b"", request_id, X_Not_Executed="1")
    elif request_id is None:
        answer(sock, 400, b"", X_Not_Executed="1")
    elif STAGE == "none":
        run_plain(sock, headers, target, request_id)
    elif (headers.get("x-stage") == "prefill") != (STATE["stage"] == "prefill"):
        answer(sock, 421, b"", request_id, X_Not_Executed="1")
    elif STATE["stage"] == "prefill":
        tokens = int(headers.get("x-token-count", "0,0").split(",")[0])
        time.sleep(tokens / 55_556)
        value = {"cache_handle": secrets.token_hex(6), "tokens": tokens, "version": OPTIONS["version"]}
        answer(sock, 200, json.dumps(value).encode(), request_id, X_Server_Stamp=stamp(request_id))
    else:
        return stream(sock, headers, request_id)
    return True


def serve(sock):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    reader = sock.makefile("rb")
    try:
        while (request := read_request(reader)) is not None:
            if not handle(sock, *request):
                break
    except OSError:
        pass
    reader.close()
    sock.close()


def main():
    ip, port = ADDRESS.rsplit(":", 1)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # What a server has written is with the system, also if the other side reads slowly.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    listener.bind((ip, int(port)))
    listener.listen(256)
    signal.signal(signal.SIGUSR1, leave)
    signal.signal(signal.SIGUSR2, fill)
    threading.Thread(target=register, daemon=True).start()
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


main()
