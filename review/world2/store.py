"""Stand-in of the platform's store: objects by kind and name, lists, watches, conditional writes.

Usage: store.py IP:PORT [LAG]. Entries of servers lapse after three missed heartbeats. Lists that may be old (serializable)
show the state of LAG seconds ago.
"""

import json
import sys
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HEARTBEAT_S = 1.2
LOCK = threading.Condition()
OBJECTS = {}  # (kind, name) -> object
BEATS = {}  # name of a server -> time of its last write
HISTORY = []  # (revision, kind, event, when)
STATE = {"revision": 1}
LAG_S = float(sys.argv[2]) if len(sys.argv) > 2 else 0.0


def write(kind, name, spec):
    STATE["revision"] += 1
    revision = STATE["revision"]
    old = OBJECTS.get((kind, name))
    created = old["metadata"]["create_revision"] if old else revision
    obj = {
        "metadata": {
            "name": name,
            "revision": revision,
            "create_revision": created,
            "finalizers": [],
            "deleting": False,
        },
        "spec": spec,
        "status": {},
    }
    OBJECTS[(kind, name)] = obj
    HISTORY.append((revision, kind, {"object": obj, "removed": False}, time.monotonic()))
    LOCK.notify_all()
    return obj


def remove(kind, name):
    STATE["revision"] += 1
    obj = OBJECTS.pop((kind, name))
    HISTORY.append((STATE["revision"], kind, {"object": obj, "removed": True}, time.monotonic()))
    LOCK.notify_all()
    return obj


def listed(kind, is_old):
    """Returns a kind's objects and the revision that they show."""
    if not is_old or LAG_S == 0:
        return [obj for (k, _), obj in sorted(OBJECTS.items()) if k == kind], STATE["revision"]
    objects, revision = {}, 1
    for changed, k, event, when in HISTORY:
        if when > time.monotonic() - LAG_S:
            break
        revision = changed
        if k == kind:
            name = event["object"]["metadata"]["name"]
            objects.pop(name, None)
            if not event["removed"]:
                objects[name] = event["object"]
    return [objects[name] for name in sorted(objects)], revision


def without_sequence(spec):
    return {key: value for key, value in spec.items() if key != "sequence"}


def lapse():
    while True:
        time.sleep(0.2)
        with LOCK:
            for name, at in list(BEATS.items()):
                if time.monotonic() - at > 3 * HEARTBEAT_S:
                    del BEATS[name]
                    if ("servers", name) in OBJECTS:
                        remove("servers", name)


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def answer(self, status, value):
        body = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.send_header("Store-Era", "1")
        self.end_headers()
        self.wfile.write(body)

    def target(self):
        url = urllib.parse.urlsplit(self.path)
        parts = [urllib.parse.unquote(part) for part in url.path.split("/")[3:]]
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        return parts[0], parts[1] if len(parts) > 1 else None, query

    def body(self):
        return json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or b"{}")

    def do_GET(self):
        kind, name, query = self.target()
        if name is not None:
            with LOCK:
                obj = OBJECTS.get((kind, name))
            return self.answer(200, obj) if obj else self.answer(404, {})
        if "watch" not in query:
            with LOCK:
                items, revision = listed(kind, query.get("serializable") == "1")
                value = {"items": items, "more_pages": False, "as_of": revision}
            return self.answer(200, value)
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with LOCK:
            while True:
                events = [e for r, k, e, _ in HISTORY if r > since and k == kind]
                left = until - time.monotonic()
                if events or left <= 0:
                    value = {"events": events, "as_of": STATE["revision"]}
                    break
                LOCK.wait(left)
        return self.answer(200, value)

    def do_POST(self):
        kind, _, _ = self.target()
        body = self.body()
        name = body["metadata"]["name"]
        with LOCK:
            old = OBJECTS.get((kind, name))
            obj = old or write(kind, name, body.get("spec"))
            if kind == "servers":
                BEATS[name] = time.monotonic()
        self.answer(409 if old else 200, obj)

    def do_PUT(self):
        kind, name, _ = self.target()
        body = self.body()
        spec = body.get("spec")
        wanted = body.get("metadata", {}).get("revision")
        with LOCK:
            old = OBJECTS.get((kind, name))
            if old is None:
                status, value = 404, {}
            elif wanted is not None and wanted != old["metadata"]["revision"]:
                status, value = 409, old
            else:
                status, value = 200, old
                if kind == "servers":
                    BEATS[name] = time.monotonic()
                    if without_sequence(old["spec"]) != without_sequence(spec):
                        value = write(kind, name, spec)
                elif old["spec"] != spec:
                    value = write(kind, name, spec)
        self.answer(status, value)

    def do_DELETE(self):
        kind, name, query = self.target()
        with LOCK:
            old = OBJECTS.get((kind, name))
            if old is None:
                status, value = 404, {}
            elif "revision" in query and int(query["revision"]) != old["metadata"]["revision"]:
                status, value = 409, old
            else:
                status, value = 200, remove(kind, name)
        self.answer(status, value)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_):
        """A caller that broke off its connection is no fault."""


def main():
    ip, port = sys.argv[1].rsplit(":", 1)
    threading.Thread(target=lapse, daemon=True).start()
    Server((ip, int(port)), Handler).serve_forever()


main()
