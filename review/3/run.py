"""DRAIN: a daemon that was restarted takes a late heartbeat for a return.

Two upstreams leave with DELETE, one after the other. Near it, the daemon
beside each is killed and started again, and one heartbeat that the upstream
sent before it left arrives late. The upstream serves on for some seconds."""
import asyncio
import os
import shutil
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *  # noqa: E402,F403

HERE = os.path.dirname(os.path.abspath(__file__))
# all: kills and late heartbeats; 0: neither; kill, late: one of them.
TROUBLE = os.environ.get("TROUBLE", "all")
KILLS = TROUBLE not in ("0", "late")
LATE = TROUBLE not in ("0", "kill")
LATE_S = 3.0
RESTART_S = 0.5
SERVES_ON_S = 10.0
SERVICE = "quoting"


async def kill_and_restart(record, machine):
    """Returns the time of the kill."""
    if not KILLS:
        return now()
    killed = now()
    record.line("SIGKILL to the daemon of " + machine.name)
    machine.kill_daemon()
    await asyncio.sleep(RESTART_S)
    machine.start_daemon()
    record.line("the daemon of %s is started again" % machine.name)
    return killed


async def leave(record, machine):
    """Sends DELETE until it is acknowledged; returns the time of the ack."""
    upstream = machine.upstream
    upstream.leaving = True
    for _ in range(8):
        status = await upstream.send("DELETE")
        if status == 200:
            record.line("ack of DELETE of %s by %s" %
                        (upstream.id, machine.name))
            return now()
        await asyncio.sleep(0.25)
    return None


async def send_late(record, machine, beat):
    """Delivers a heartbeat that was sent LATE_S ago."""
    await asyncio.sleep(LATE_S)
    status = await machine.upstream.send("PUT", beat)
    record.line("late heartbeat of %s arrives at %s: %d" %
                (machine.upstream.id, machine.name, status))


async def leave_then_restart(record, machine):
    """The daemon acknowledges the leave and is then killed."""
    upstream = machine.upstream
    upstream.task.cancel()
    beat = upstream.beat()
    record.line("heartbeat of %s is sent%s" %
                (upstream.id, " and held up" if LATE else ""))
    if LATE:
        late = asyncio.ensure_future(send_late(record, machine, beat))
    else:
        await upstream.send("PUT", beat)
    await asyncio.sleep(0.2)
    acked = await leave(record, machine)
    await asyncio.sleep(0.3)
    killed = await kill_and_restart(record, machine)
    if LATE:
        await late
    return acked, killed


async def restart_then_leave(record, machine):
    """The daemon is killed; the new process acknowledges the leave."""
    upstream = machine.upstream
    upstream.task.cancel()
    killed = await kill_and_restart(record, machine)
    # The new process finds its running upstream by its health path.
    await asyncio.sleep(1.0)
    beat = upstream.beat()
    record.line("heartbeat of %s is sent%s" %
                (upstream.id, " and held up" if LATE else ""))
    if LATE:
        late = asyncio.ensure_future(send_late(record, machine, beat))
    else:
        await upstream.send("PUT", beat)
    await asyncio.sleep(0.2)
    acked = await leave(record, machine)
    if LATE:
        await late
    return acked, killed


def late_runs(machine, acked, killed, sent):
    """Runs at an upstream later than drain_ms after the ack, of requests that
    were sent while all machines involved were in touch."""
    from_s = acked + DRAIN_MS / 1000
    if KILLS:
        from_s = max(from_s, killed + RESTART_S + 0.2 + STABILITY_MS / 1000)
    return [run for run in machine.upstream.runs
            if run[0] > from_s and sent.get(run[1], 0) > from_s]


async def play(folder, record, machines):
    network, base = free_network(6)
    store_place = ("127.%d.%d.6" % network, base)
    store = Store(record)
    await store.start(*store_place)
    for number in range(1, 5):
        machine = Machine(network, number,
                          (base, base + 2, base + 3, base + 4, base + 5),
                          "perth-north", "perth", SERVICE, store_place)
        machine.write_settings(folder)
        machine.upstream = Upstream(
            record, SERVICE, machine.ip, machine.app,
            (machine.ip, machine.admin))
        await machine.upstream.start()
        machine.start_daemon()
        machines.append(machine)
    await store.put("config", "main", manifest(
        3, {"/looks/": ("idempotent", SERVICE)}, [SERVICE]))
    if not await wait_until_served(machines, "/looks/1"):
        print("the deployment does not serve")
        return 2
    await asyncio.sleep(5.0)
    # Requests come in at the two machines whose upstreams stay.
    consumers = [Consumer(record, machine, "GET", "/looks/2", 0.05)
                 for machine in machines[2:]]
    for consumer in consumers:
        consumer.start()
    await asyncio.sleep(4.0)
    broken = False
    for machine, scenario in ((machines[0], leave_then_restart),
                              (machines[1], restart_then_leave)):
        runs_before = len(machine.upstream.runs)
        acked, killed = await scenario(record, machine)
        if acked is None or runs_before == 0:
            print("%s: no ack or no run before" % scenario.__name__)
            return 2
        await asyncio.sleep(max(0.0, acked + SERVES_ON_S - now()))
        sent = {}
        for consumer in consumers:
            sent.update(consumer.sent)
        late = late_runs(machine, acked, killed, sent)
        line = "%s: %d runs before; %d runs at %s later than %d ms after " \
            "the ack at %.3f s" % (scenario.__name__, runs_before, len(late),
                                   machine.upstream.id, DRAIN_MS, acked)
        if late:
            line += ", from %.3f s to %.3f s" % (late[0][0], late[-1][0])
            broken = True
        print(line)
        record.line(line)
        # The upstream exits, and its daemon is stopped after it.
        machine.upstream.server.server.close()
        machine.stop()
    for consumer in consumers:
        consumer.stop()
    await asyncio.sleep(1.6)
    return 1 if broken else 0


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    folder = tempfile.mkdtemp()
    machines = []
    try:
        code = asyncio.run(asyncio.wait_for(
            play(folder, record, machines), 110))
    except Exception as error:  # the case could not run
        print("could not run: %r" % error)
        code = 2
    finally:
        for machine in machines:
            machine.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs: " + folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record.line("DRAIN broken" if code == 1 else "exit code %d" % code)
    sys.stdout.flush()
    # Open connections of the stand-ins end with the process.
    os._exit(code)


main()
