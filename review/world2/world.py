"""A small deployment on loopback addresses: a store, servers and hosts as processes, and clients."""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
DAEMON = os.path.join(ROOT, "target/release/walnuthavend")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def connect(address, receive_buffer=None):
    ip, port = address.rsplit(":", 1)
    sock = socket.socket()
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.settimeout(20)
    sock.connect((ip, int(port)))
    return sock


class World:
    """Processes and what was seen. Ends all processes when it is left."""

    def __init__(self, folder, store_lag_s=0):
        self.dir = tempfile.mkdtemp(prefix="case-")
        self.runs = os.path.join(self.dir, "runs")
        open(self.runs, "w").close()
        self.lines = []
        self.record = os.path.join(folder, "record.txt")
        self.processes = []
        self.started = time.time()
        self.store = free_address()
        self.python("store.py", self.store, str(store_lag_s))
        self.wait_for(lambda: self.call("GET", "config") is not None, "store")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        with open(self.runs) as runs:
            seen = [("server", json.loads(line)) for line in runs]
        lines = [("script", line) for line in self.lines] + seen
        with open(self.record, "w") as record:
            for who, line in sorted(lines, key=lambda pair: pair[1]["at"]):
                at = line.pop("at") - self.started
                record.write(f"{at:8.3f} {who} {json.dumps(line)}\n")
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.dir)

    def say(self, what, **fields):
        self.lines.append({"at": round(time.time(), 3), "what": what, **fields})
        print(f"{time.time() - self.started:8.3f} {what} {fields}", flush=True)

    def spawn(self, args, **options):
        process = subprocess.Popen(args, stdin=subprocess.DEVNULL, **options)
        self.processes.append(process)
        return process

    def python(self, name, *args):
        return self.spawn([sys.executable, os.path.join(HERE, name), *args])

    def server(self, name, address, service, stage, **options):
        pairs = [f"{key}={value}" for key, value in options.items()]
        return self.python("server.py", name, address, service, stage, self.store, self.runs, *pairs)

    def call(self, method, path, value=None):
        url = f"http://{self.store}/walnuthaven/objects/{path}"
        data = None if value is None else json.dumps(value).encode()
        request = urllib.request.Request(url, data, method=method)
        try:
            with urllib.request.urlopen(request, timeout=2) as answer:
                return json.loads(answer.read())
        except OSError:
            return None

    def put_config(self, spec):
        body = {"metadata": {"name": "main"}, "spec": spec}
        return self.call("PUT", "config/main", body) or self.call("POST", "config", body)

    def host(self, name):
        """Writes the settings of a host by the template of the deploy file, and starts it."""
        fields = ("callers", "ready", "directory", "news", "metrics")
        listen = {field: free_address() for field in fields}
        lines = "\n".join(f"{field} = {address}" for field, address in listen.items())
        path = os.path.join(self.dir, f"{name}.ini")
        with open(path, "w") as settings:
            settings.write(
                f"[host]\nname = {name}\nzone = mvd-a\n\n[listen]\n{lines}\n\n[store]\naddress = {self.store}\n\n"
                "[limits]\nmemory = 110MB\nfiles = 4100\n\n[leaving]\ngrace = 8s\n\n[deployment]\n"
                "terms = base,drain,config,cost,retry,recover,split,stream,engine,platform\n\n"
                "[directory]\nttl = 3s\n\n[retry]\nratio = 0.2\nslack = 56\nwindow = 10s\n"
            )
        return Host(self, name, path, listen)

    def wait_for(self, condition, what, seconds=15):
        until = time.time() + seconds
        while not condition():
            if time.time() > until:
                print(f"{what}: not ready in time", file=sys.stderr)
                raise TimeoutError(what)
            time.sleep(0.05)

    def server_lines(self):
        with open(self.runs) as runs:
            return [json.loads(line) for line in runs if line.endswith("\n")]


class Host:
    """An entry host, started with the command of the deploy file."""

    def __init__(self, cx, name, path, listen):
        self.cx, self.name, self.path = cx, name, path
        self.callers, self.ready_url = listen["callers"], f"http://{listen['ready']}/walnuthaven/ready"
        self.start()

    def start(self):
        log = open(os.path.join(self.cx.dir, f"{self.name}.log"), "a")
        args = [DAEMON, "--entry", "--config", self.path]
        self.process = self.cx.spawn(args, cwd=ROOT, stdout=log, stderr=log)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def is_ready(self):
        try:
            return urllib.request.urlopen(self.ready_url, timeout=1).status == 200
        except OSError:
            return False

    def wait_ready(self):
        self.cx.wait_for(self.is_ready, self.name)


def route(name, prefix, kind, service, **fields):
    value = {
        "name": name,
        "host": "menus.example",
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 14000,
        "target_latency_ms": 900,
        "priority": 1,
        "max_attempts": 2,
    }
    return {**value, **fields}


def config(version, routes, **fields):
    engine = {
        "slots": 12,
        "kv_tokens": 66796,
        "kv_token_bytes": 18432,
        "link_mbps": 2200000,
        "stride": 1,
        "handle_ttl_s": 4,
        "switch_s": 1,
        "moves": False,
        "models": [{"name": "m"}],
    }
    common = {"health_path": "/health", "max_connections": 600, "protocol": "h1", "tls": False}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "dietitian-llm", **common, "engine": engine},
            {"name": "kitchen-orders", **common},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        **fields,
    }


def end(case):
    """Runs a case and exits with what it found."""
    try:
        found = case()
    except (OSError, TimeoutError, subprocess.SubprocessError) as error:
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        found = NOT_RUN
    sys.exit(found)
