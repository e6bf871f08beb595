"""Stand-ins for the platform, the operator, backend servers and clients, on loopback addresses.

Only the Python standard library is used. Addresses are taken from one free 127.N net; data folders and
settings files lie in a temporary folder. Only processes that were started here are signalled.
"""
import hashlib
import http.client
import json
import os
import random
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/release/buckthornweir-platform"  # the command of every role in deploy/system.toml
PEERS, CONTROL, READY, DATAGRAM, OUTBOUND, APP = 7720, 8166, 8167, 8172, 8173, 8080
ZONES = ["eire-east-1", "eire-east-2", "eire-east-3"]
REGION = "eire-east"
HEARTBEAT_MS = 1200
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000,
    "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "maxStretchMs": 12000,
    "coldBurstFactor": 1.5, "coldSlack": 5, "evacuationMs": 5000, "recoveryS": 12, "misrouteMs": 2000,
    "maxFlowS": 60,
}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """Writes lines with the time since the start to record.txt and to standard output."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()

    def __call__(self, *words):
        line = "%8.3f %s" % (time.monotonic() - self.start, " ".join(str(w) for w in words))
        with self.lock:
            print(line, flush=True)
            self.file.write(line + "\n")
            self.file.flush()


def free_net():
    for _ in range(100):
        net = random.randint(20, 220)
        probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            probe.bind(("127.%d.0.1" % net, 7699))
            return net, probe
        except OSError:
            probe.close()
    raise CannotRun("no free net")


class Node:
    def __init__(self, name, cls, ip, zone, **more):
        self.name, self.cls, self.ip, self.zone = name, cls, ip, zone
        self.more, self.child, self.data = more, None, None


class Deployment:
    """Starts, signals and ends processes of the system, as the platform does."""

    def __init__(self, record):
        if not os.path.exists(os.path.join(REPO, PROGRAM)):
            raise CannotRun("the program is not built")
        self.record = record
        self.net, self.claim = free_net()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.nodes, self.seeds = {}, []
        self.hosts = {"edge": 0, "side": 0, "core": 0}

    def add(self, cls, zone, **more):
        self.hosts[cls] += 1
        group = {"edge": 1, "side": 2, "core": 3}[cls]
        ip = "127.%d.%d.%d" % (self.net, group, self.hosts[cls])
        node = Node("%s-%s-%d" % (cls, zone, self.hosts[cls]), cls, ip, zone, **more)
        if cls == "core":
            node.data = os.path.join(self.folder, "data-" + node.name)
            os.makedirs(node.data)
        self.nodes[node.name] = node
        return node

    def settings(self, node, bootstrap):
        listen = {
            "edge": {"datagramAddr": DATAGRAM, "ready": READY},
            "side": {"datagramAddr": DATAGRAM, "outbound": OUTBOUND, "ready": READY, "control": CONTROL},
            "core": {"control": CONTROL},
        }[node.cls]
        limits = {"edge": (0.055, 260, 4100, 0), "side": (0.15, 128, 4096, 0), "core": (0.6, 256, 4096, 128)}
        share, memory, files, disk = limits[node.cls]
        serves = {"edge": "edge", "side": "side", "core": "control_plane"}[node.cls]
        role = {"edge": "balancer", "side": "agent", "core": "control"}[node.cls]
        lines = [
            'nodeName = "%s"' % node.name, 'role = "%s"' % role, 'machineClass = "%s"' % node.cls,
            'serves = ["%s"]' % serves, 'ip = "%s"' % node.ip, 'zone = "%s"' % node.zone,
            'region = "%s"' % REGION, "portRange = [%d,%d]" % (PEERS, PEERS + 15),
            "seeds = [%s]" % ",".join('"%s:%d"' % (n.ip, CONTROL) for n in self.seeds),
            "bootstrap = %s" % ("true" if bootstrap else "false"),
            "inFaultBudget = %s" % ("true" if node.cls == "core" else "false"),
            'discovery = "local"', 'entry = "announce"', "heartbeatMs = %d" % HEARTBEAT_MS,
            'contracts = ["base","drain","config","cost","recover","flows","places"]',
            'config_mode = "highest"', 'hashScheme = "mod"', 'forwardingMode = "agent"',
        ]
        if node.data:
            lines.append('dataDir = "%s"' % node.data)
        if node.cls == "side":
            lines += ['app = "%s:%d"' % (node.ip, APP), 'service = "%s"' % node.more["service"]]
        lines.append("[zones]")
        lines += ['%s = "%s"' % (zone, REGION) for zone in ZONES]
        lines.append("[listen]")
        lines += ['%s = "%s:%d"' % (key, node.ip, port) for key, port in listen.items()]
        lines += ["[limits]", "cpuShare = %s" % share, "cores = 1", "memoryMb = %d" % memory,
                  "maxFds = %d" % files, "linkMbps = 1000.0", "diskMb = %d" % disk,
                  "[faultTolerance]", "machines = 2", "zones = 1", "regions = 0", "[bounds]"]
        lines += ["%s = %s" % item for item in BOUNDS.items()]
        path = os.path.join(self.folder, node.name + ".toml")
        with open(path + ".new", "w") as file:
            file.write("\n".join(lines) + "\n")
        os.replace(path + ".new", path)
        return path

    def start(self, node, bootstrap=False):
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["BUCKTHORNWEIR_NODE_FILE"] = self.settings(node, bootstrap)
        log = open(os.path.join(self.folder, node.name + ".log"), "ab")
        node.child = subprocess.Popen([os.path.join(REPO, PROGRAM)], cwd=REPO, env=env, stdin=subprocess.DEVNULL,
                                      stdout=log, stderr=log)
        log.close()
        self.record("platform: starts", node.name, node.ip, "bootstrap" if bootstrap else "")

    def kill(self, node):
        self.record("platform: SIGKILL", node.name)
        node.child.kill()
        node.child.wait()

    def terminate(self, node):
        """Sends SIGTERM, and SIGKILL after the grace period."""
        self.record("platform: SIGTERM", node.name)
        node.child.terminate()
        try:
            node.child.wait(BOUNDS["graceS"])
        except subprocess.TimeoutExpired:
            node.child.kill()
            node.child.wait()
        self.record("platform: ended", node.name)

    def wipe(self, node):
        self.record("platform: the disk is lost of", node.name)
        shutil.rmtree(node.data)
        os.makedirs(node.data)

    def close(self):
        for node in self.nodes.values():
            if node.child and node.child.poll() is None:
                node.child.send_signal(signal.SIGCONT)
                node.child.kill()
                node.child.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.claim.close()


def call(address, method, path, body=None, timeout=1.0):
    """Sends one HTTP request; returns status, body and Location, or None without a whole answer."""
    connection = http.client.HTTPConnection(address[0], address[1], timeout=timeout)
    try:
        headers = {"Content-Type": "application/json"} if body is not None else {}
        connection.request(method, path, body=body, headers=headers)
        reply = connection.getresponse()
        return reply.status, reply.read(), reply.getheader("Location")
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Operator:
    """An operator, who calls any control node, follows a 307 twice and moves on after a failure."""

    def __init__(self, record, nodes):
        self.record, self.nodes = record, nodes

    def attempt(self, node, method, path, body=None):
        address = (node.ip, CONTROL)
        for _ in range(3):
            reply = call(address, method, path, body)
            if reply is None or reply[0] != 307 or not reply[2]:
                return reply
            host = reply[2].split("/")[2]
            address = (host.split(":")[0], int(host.split(":")[1]))
            path = "/" + reply[2].split("/", 3)[3]
        return reply

    def order(self, method, path, body=None, limit=20.0):
        """Repeats an order until a clear answer; returns the status, or None after `limit` seconds."""
        until, pause = time.monotonic() + limit, 0.05
        while time.monotonic() < until:
            for node in list(self.nodes):
                reply = self.attempt(node, method, path, body)
                if reply and (200 <= reply[0] < 300 or 400 <= reply[0] < 500):
                    self.record("operator:", method, path, "at", node.name, "->", reply[0])
                    return reply[0]
                if time.monotonic() >= until:
                    break
            time.sleep(pause)
            pause = min(pause * 2, 0.5)
        self.record("operator:", method, path, "-> no clear answer in", limit, "s")
        return None

    def replace(self, config, limit=20.0):
        self.record("operator: sends version", config["version"])
        return self.order("POST", "/-/config/replace", json.dumps(config).encode(), limit)

    def fetch(self):
        """Reads the configuration at each node once; returns the versions and statuses."""
        seen = {}
        for node in self.nodes:
            reply = self.attempt(node, "GET", "/-/config/fetch")
            if reply is None:
                seen[node.name] = "no answer"
            elif reply[0] == 200:
                seen[node.name] = json.loads(reply[1])["version"]
            else:
                seen[node.name] = "status %d" % reply[0]
        return seen


def config(version, routes, services, cold_per_s=0.0):
    """Returns a configuration; routes are (name, host, port, service, kind)."""
    kinds = {"idempotent": (1000, 150, 2), "non_idempotent": (1200, 200, 1), "download": (3000, 500, 2)}
    return {
        "version": version,
        "routes": [
            {"name": name, "host": host, "pathPrefix": "/%d/" % port, "routeType": kind,
             "timeoutMs": kinds[kind][0], "targetLatencyMs": kinds[kind][1], "priority": kinds[kind][2],
             "service": service, "attempts": 2}
            for name, host, port, service, kind in routes
        ],
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": False,
             "coldStartS": 2.0, "coldPerS": cold_per_s}
            for name in services
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


def main(folder, case):
    """Runs a case, which returns whether the rule held; returns the exit code of the script."""
    record = Record(folder)
    faults = []
    threading.excepthook = lambda args: faults.append(args.exc_value)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    deployment, held = None, None
    try:
        deployment = Deployment(record)
        held = case(record, deployment)
    except CannotRun as reason:
        record("cannot run:", reason)
    except Exception as fault:  # a fault of the stand-ins says nothing of the rule
        faults.append(fault)
    finally:
        if deployment:
            deployment.close()
    for fault in faults:
        record("fault of a stand-in:", repr(fault))
    if faults or held is None:
        return 2
    record("result:", "the rule held" if held else "THE RULE WAS BROKEN")
    return 0 if held else 1
