"""Stand-ins that speak the packets of the platform: routers, clients and backend servers."""
import http.server
import json
import random
import select
import socket
import struct
import threading
import time
import zlib

import bw

SYN, ACK, FIN, RST, BOUNCED = 4, 1, 8, 32, 64
HEAD = struct.Struct(">IHIIH4sH4sIB")  # sum len seq ack dport src sport dst echo flags
KEY = b"review-stand-ins"
TRIES = (0.2, 0.6, 1.4)  # copies of a SYN after 200 and 600 ms, given up after 1.4 s


def checksum(seq, ack, dport, src, sport, dst, flags, data):
    text = KEY + struct.pack(">IIH4sH4sB", seq, ack, dport, src, sport, dst, flags & ~BOUNCED) + data
    return max(zlib.crc32(text), 1)


def encode(src, dst, flags, seq, ack, data=b""):
    source, target = socket.inet_aton(src[0]), socket.inet_aton(dst[0])
    total = checksum(seq, ack, dst[1], source, src[1], target, flags, data)
    return HEAD.pack(total, len(data), seq, ack, dst[1], source, src[1], target, 0, flags) + data


class Packet:
    def __init__(self, raw):
        (self.sum, length, self.seq, self.ack, dport, src, sport, dst, self.echo,
         self.flags) = HEAD.unpack(raw[:HEAD.size])
        self.raw, self.data = raw, raw[HEAD.size:]
        self.src, self.dst = (socket.inet_ntoa(src), sport), (socket.inet_ntoa(dst), dport)
        good = checksum(self.seq, self.ack, dport, src, sport, dst, self.flags, self.data)
        self.authentic = self.sum == good and length == len(self.data)


class Backend:
    """A backend server beside an agent. It ends flows, runs requests and reports to its agent."""

    def __init__(self, record, node, slots=5, work=0.02, cold_s=0.0):
        self.record, self.node, self.slots, self.work = record, node, slots, work
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.warm_at = time.monotonic() + cold_s
        self.state, self.seq = "ready", 0
        self.flows, self.lock, self.stop = {}, threading.Lock(), threading.Event()
        self.syns, self.runs, self.bounced, self.forged = [], [], [], 0
        self.acked_at = {}
        self.next_beat = time.monotonic()
        self.pending = []
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((node.ip, bw.APP))
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((node.ip, bw.APP))
        self.listener.listen(64)
        for loop in (self.packets, self.health, self.beats):
            threading.Thread(target=loop, daemon=True).start()
        record("backend:", self.id, "starts beside", node.name, "born", self.born)

    def end(self):
        """Ends the process: flows are gone and the sockets are closed."""
        self.stop.set()
        time.sleep(0.06)
        self.socket.close()
        self.listener.close()
        self.record("backend:", self.id, "beside", self.node.name, "has ended")

    def cold(self):
        return max(0.0, self.warm_at - time.monotonic())

    def beat(self):
        self.seq += 1
        body = {"service": self.node.more["service"], "address": "%s:%d" % (self.node.ip, bw.APP),
                "zone": self.node.zone, "version": "v1", "slots": self.slots, "state": self.state,
                "coldLeftMs": int(self.cold() * 1000), "seq": self.seq, "born": self.born}
        state = self.state
        reply = bw.call((self.node.ip, bw.CONTROL), "POST", "/-/instances/%s/heartbeat" % self.id,
                        json.dumps(body).encode())
        good = bool(reply and 200 <= reply[0] < 300)
        if good and state not in self.acked_at:
            self.acked_at[state] = time.monotonic()
            self.record("backend:", self.id, "has", state, "acknowledged")
        return good

    def beats(self):
        while not self.stop.is_set():
            if time.monotonic() >= self.next_beat:
                self.next_beat += bw.HEARTBEAT_MS / 1000 * random.uniform(0.9, 1.1)
                self.beat()
            time.sleep(0.01)

    def health(self):
        self.listener.settimeout(0.05)
        while not self.stop.is_set():
            try:
                connection, _ = self.listener.accept()
            except OSError:
                continue
            try:
                connection.settimeout(0.1)
                if connection.recv(1024):
                    status = "200 OK" if self.state == "ready" else "503 Leaving"
                    connection.sendall(("HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" % status).encode())
            except OSError:
                pass
            connection.close()

    def out(self, raw):
        try:
            self.socket.sendto(raw, (self.node.ip, bw.OUTBOUND))
        except OSError:
            pass

    def packets(self):
        self.socket.settimeout(0.005)
        while not self.stop.is_set():
            try:
                raw = self.socket.recv(2048)
                with self.lock:
                    self.packet(Packet(raw))
            except (socket.timeout, ConnectionRefusedError):
                pass
            except OSError:
                return
            now = time.monotonic()
            due = [p for p in self.pending if p[0] <= now]
            self.pending = [p for p in self.pending if p[0] > now]
            for _, raw in due:
                self.out(raw)

    def packet(self, p):
        if not p.authentic:
            self.forged += 1
            return
        key, now = (p.src, p.dst), time.monotonic()
        flow = self.flows.get(key)
        if p.flags & SYN:
            if flow is None:
                flow = self.flows[key] = {"seq": random.getrandbits(32), "open": None, "next": 0, "answers": {}}
                self.syns.append((now, key, self.cold() > 0))
            flow["peer"] = p.seq
            return self.out(encode(p.dst, p.src, SYN | ACK, flow["seq"], (p.seq + 1) & 0xffffffff))
        mine = flow is not None and (flow["open"] or p.ack == (flow["seq"] + 1) & 0xffffffff)
        if not mine:
            self.bounced.append((now, key))
            raw = bytearray(p.raw)
            raw[HEAD.size - 1] |= BOUNCED
            return self.out(bytes(raw))
        if not flow["open"]:
            flow["open"] = now
        flow["seen"] = now
        if p.flags & RST:
            del self.flows[key]
            return
        if p.data:
            if p.seq not in flow["answers"]:
                name = p.data.split(b"\r\n")[0].decode()
                self.runs.append((now, name))
                body = b"seal %s %s" % (self.id.encode(), name.encode())
                text = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                raw = encode(p.dst, p.src, ACK, p.ack, (p.seq + len(p.data)) & 0xffffffff, text)
                flow["answers"] = {p.seq: raw}
                self.pending.append((now + self.work, raw))
            elif not any(raw is flow["answers"][p.seq] for _, raw in self.pending):
                self.out(flow["answers"][p.seq])
        if p.flags & FIN:
            end = (p.seq + len(p.data) + 1) & 0xffffffff
            self.out(encode(p.dst, p.src, FIN | ACK, p.ack, end))


class Routers:
    """The platform's routers: they probe readiness and hash flows over the edge nodes in rotation."""

    def __init__(self, edges):
        self.edges, self.misses, self.stop = edges, {e.name: 2 for e in edges}, threading.Event()
        threading.Thread(target=self.probe, daemon=True).start()

    def probe(self):
        while not self.stop.is_set():
            for edge in list(self.edges):
                reply = bw.call((edge.ip, bw.READY), "GET", "/-/readiness", timeout=0.3)
                good = bool(reply and reply[0] == 200)
                self.misses[edge.name] = 0 if good else self.misses.get(edge.name, 2) + 1
            time.sleep(0.5)

    def ready(self):
        return [e for e in self.edges if self.misses.get(e.name, 2) < 2]

    def pick(self, client, service):
        ready = self.ready()
        if 2 * len(ready) < len(self.edges):
            ready = self.edges
        text = repr((client, service)).encode()
        return ready[zlib.crc32(text) % len(ready)]


class Client:
    """A client with one address and any number of flows."""

    def __init__(self, record, routers, ip):
        self.record, self.routers, self.ip = record, routers, ip
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, bw.DATAGRAM))
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.port, self.flows, self.stop = 40000, {}, threading.Event()
        self.lock = threading.RLock()
        threading.Thread(target=self.loop, daemon=True).start()

    def send(self, raw, flow):
        edge = self.routers.pick(flow.local, flow.service)
        flow.via = edge.name
        try:
            self.socket.sendto(raw, (edge.ip, bw.DATAGRAM))
        except OSError:
            pass

    def open(self, service):
        with self.lock:
            self.port += 1
            flow = Flow(self, (self.ip, self.port), service)
            self.flows[flow.local, service] = flow
        flow.start()
        return flow

    def loop(self):
        self.socket.settimeout(0.005)
        while not self.stop.is_set():
            try:
                raw, sender = self.socket.recvfrom(2048)
                p = Packet(raw)
                with self.lock:
                    flow = self.flows.get((p.dst, p.src))
                    if flow:
                        flow.receive(p, sender)
            except (socket.timeout, ConnectionRefusedError):
                pass
            with self.lock:
                now = time.monotonic()
                for flow in list(self.flows.values()):
                    flow.tick(now)


class Flow:
    """A client's end of a flow. Requests are sent one after the other."""

    def __init__(self, client, local, service):
        self.client, self.local, self.service = client, local, service
        self.state, self.seq = "new", random.getrandbits(32)
        self.ack, self.via, self.resets = 0, None, []
        self.request, self.answers, self.sent_at = None, [], None
        self.copies, self.opened_at = 0, None

    def start(self):
        self.state, self.began = "opening", time.monotonic()
        self.syn()

    def syn(self):
        raw = encode(self.local, self.service, SYN, self.seq, self.copies)
        self.copies += 1
        self.client.send(raw, self)

    def ask(self, name):
        """Sends a request; False while another one is pending or the flow is not open."""
        with self.client.lock:
            if self.state != "open" or self.request:
                return False
            self.request = name.encode() + b"\r\n\r\n"
            self.sent_at = self.last = time.monotonic()
            self.gap = 0.2
            self.push()
            return True

    def push(self):
        self.client.send(encode(self.local, self.service, ACK, self.seq, self.ack, self.request), self)

    def tick(self, now):
        if self.state == "opening":
            if self.copies < 3 and now >= self.began + TRIES[self.copies - 1]:
                self.syn()
            if now >= self.began + TRIES[2]:
                self.state = "failed"
        elif self.state == "open" and self.request and now >= self.last + self.gap:
            self.last, self.gap = now, min(self.gap * 2, 1.6)
            self.push()

    def receive(self, p, sender):
        now = time.monotonic()
        if p.flags & RST:
            if p.sum == 0 and not p.data:
                near = (p.seq - self.ack + 76800) & 0xffffffff <= 2 * 76800
                if self.state == "opening":
                    self.state = "refused"
                elif self.state == "open" and near:
                    self.state = "reset"
                    self.resets.append((now, sender[0]))
            elif p.authentic:
                self.state = "ended by the backend"
            return
        if not p.authentic:
            self.state = "forged"
            return
        if p.flags & SYN:
            if self.state == "opening":
                self.state, self.opened_at = "open", now
                self.seq = (self.seq + 1) & 0xffffffff
                self.ack = (p.seq + 1) & 0xffffffff
                self.client.send(encode(self.local, self.service, ACK, self.seq, self.ack), self)
            return
        if p.data and self.state == "open" and self.request and p.seq == self.ack:
            self.answers.append((now, p.data))
            self.seq = (self.seq + len(self.request)) & 0xffffffff
            self.ack = (self.ack + len(p.data)) & 0xffffffff
            self.request = None
            # Acknowledges the answer.
            self.client.send(encode(self.local, self.service, ACK, self.seq, self.ack), self)

    def close(self):
        with self.client.lock:
            if self.state == "open":
                self.client.send(encode(self.local, self.service, FIN | ACK, self.seq, self.ack), self)
                self.state = "closed"
