"""CONFIG: daemons keep an old manifest while one machine of each zone, the
one that reads the store for it, is partitioned from the store.

Two zones of three machines each. Two of the six machines are cut off from the
store; then a manifest moves a route to another service. Consumers of the four
machines that are not cut off go on."""
import asyncio
import os
import shutil
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *  # noqa: E402,F403

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CUT_S = 12.0
OLD = "quoting"
NEW = "crewdesk"
PATH = "/looks/"
LAYOUT = (("perth-north", "perth", OLD), ("perth-north", "perth", OLD),
          ("perth-north", "perth", NEW), ("bunbury", "south-west", OLD),
          ("bunbury", "south-west", OLD), ("bunbury", "south-west", NEW))


async def play(folder, record, machines):
    network, base = free_network(7)
    store_place = ("127.%d.%d.7" % network, base)
    store = Store(record)
    await store.start(*store_place)
    links = {}
    for number, (zone, region, service) in enumerate(LAYOUT, 1):
        ip = "127.%d.%d.%d" % (*network, number)
        link = StoreLink(ip, base + 1, *store_place)
        await link.start()
        machine = Machine(network, number,
                          (base + 6, base + 2, base + 3, base + 4, base + 5),
                          zone, region, service, (ip, base + 1))
        links[machine.name] = link
        machine.write_settings(folder)
        machine.upstream = Upstream(
            record, service, machine.ip, machine.app,
            (machine.ip, machine.admin))
        await machine.upstream.start()
        machine.start_daemon()
        machines.append(machine)

    async def write(version, service):
        await store.put("config", "main", manifest(
            version, {PATH: ("idempotent", service),
                      "/sheets/": ("idempotent", NEW)}, [OLD, NEW]))
        record.line("ack of r%d: %s goes to %s" % (version, PATH, service))
        return now()

    await write(3, OLD)
    if not await wait_until_served(machines, PATH + "1"):
        print("the deployment does not serve")
        return 2
    await asyncio.sleep(4.0)
    # Two changes that are in force everywhere before the trouble starts.
    for version, service in ((5, NEW), (8, OLD)):
        await write(version, service)
        await asyncio.sleep(4.0)
    readers = [m for m in machines if links[m.name].is_watching_config()]
    line = "machines that wait for changes of the manifest: " + \
        ", ".join(m.name for m in readers)
    print(line)
    record.line(line)
    if len(readers) > 2:
        readers = readers[:2]
    cut = readers if TROUBLE else []
    others = [m for m in machines if m not in readers]
    consumers = [Consumer(record, machine, "GET", PATH + "2", 0.1)
                 for machine in others]
    for consumer in consumers:
        consumer.start()
    await asyncio.sleep(1.0)
    for machine in cut:
        links[machine.name].cut()
        record.line("%s is cut off from the store" % machine.name)
    cut_at = now()
    await asyncio.sleep(0.5)
    acked = await write(12, NEW)
    await asyncio.sleep(cut_at + CUT_S - now())
    healed = now()
    for machine in cut:
        await links[machine.name].heal()
        record.line("%s reaches the store again" % machine.name)
    await asyncio.sleep(4.0)
    for consumer in consumers:
        consumer.stop()
    await asyncio.sleep(1.6)
    sent = {}
    for consumer in consumers:
        for request_id, at in consumer.sent.items():
            sent[request_id] = (at, consumer.machine.name)
    old_runs = [(sent[run[1]][0], sent[run[1]][1]) for machine in machines
                if machine.service == OLD for run in machine.upstream.runs
                if run[1] in sent]
    new_runs = [run for machine in machines if machine.service == NEW
                for run in machine.upstream.runs
                if run[1] in sent and sent[run[1]][0] > acked]

    def count(from_s):
        return [run for run in old_runs if run[0] > from_s]

    strict = count(acked + CONFIG_MS / 1000)
    outer = count(acked + (CONFIG_MS + MAX_SKEW_MS) / 1000)
    line = "r12 acked at %.3f s, cut from %.3f s to %.3f s. Requests that " \
        "were run by the old service: %d sent later than %d ms after the " \
        "ack, %d sent later than %d ms after it" % (
            acked, cut_at, healed, len(strict), CONFIG_MS, len(outer),
            CONFIG_MS + MAX_SKEW_MS)
    if strict:
        line += "; the last one was sent at %.3f s; machines: %s" % (
            max(at for at, _ in strict),
            ", ".join(sorted({name for _, name in strict})))
    line += ". %d were run by the new service." % len(new_runs)
    print(line)
    record.line(line)
    if not old_runs or (not TROUBLE and not new_runs):
        return 2
    # The longer bound is taken, that of an unstable store.
    return 1 if outer else 0


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
    record.line("CONFIG broken" if code == 1 else "exit code %d" % code)
    sys.stdout.flush()
    # Open connections of the stand-ins end with the process.
    os._exit(code)


main()
