"""A planned replacement of a control machine, then the loss of two disks right after an acknowledgement."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import bw

ROUTES = [("r-1", "198.18.0.1", 443, "desk", "idempotent")]


def case(record, d):
    cores = [d.add("core", bw.ZONES[i % 3]) for i in range(5)]
    d.seeds = cores[:3]
    for node in cores:
        d.start(node, bootstrap=True)
    operator = bw.Operator(record, cores)
    if operator.replace(bw.config(7, ROUTES, ["desk"])) != 200:
        raise bw.CannotRun("the first configuration was not acknowledged")
    time.sleep(bw.BOUNDS["stableWindowMs"] / 1000)

    record("planned work: a machine is added, then an old one is removed for good with SIGTERM")
    successor = d.add("core", bw.ZONES[1])
    d.start(successor)
    # Twice the time after which the successor counts and the removed machine does not.
    time.sleep(2 * bw.BOUNDS["catchUpS"])
    removed = cores[4]
    d.terminate(removed)
    operator.nodes = cores[:4] + [successor]
    if operator.replace(bw.config(12, ROUTES, ["desk"])) != 200:
        raise bw.CannotRun("the second configuration was not acknowledged")

    lost = [cores[1], cores[3]]
    if bw.TROUBLE:
        record("final fault: two of the five machines lose their disks")
        for node in lost:
            d.kill(node)
            d.wipe(node)
        time.sleep(1.0)
        for node in lost:
            d.start(node)
    back = time.monotonic()

    last = None
    while time.monotonic() < back + 30:
        seen = operator.fetch()
        if seen != last:
            record("read back:", seen)
            last = seen
        if all(version == 12 for version in seen.values()):
            record("every node reads version 12, %.1f s after the machines were back" % (time.monotonic() - back))
            break
        time.sleep(0.5)
    found = [v for v in last.values() if isinstance(v, int)]
    record("%.0f s after the machines were back:" % (time.monotonic() - back), last)
    acked = operator.replace(bw.config(20, ROUTES, ["desk"]), limit=10.0)
    record("a further change:", "acknowledged" if acked == 200 else "not acknowledged")
    return bool(found) and all(v == 12 for v in found)


sys.exit(bw.main(HERE, case))
