"""A request is sent again to an upstream that has left."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "second"))
import harness  # noqa: E402
from harness import CannotRun  # noqa: E402

DRAIN_S = 2.0
WORK_S = 3.0


async def case(world, trouble):
    machines = [world.machine("crewdesk"), world.machine("crewdesk")]
    await world.publish(
        3, [{"path_prefix": "/photos/", "service": "crewdesk",
             "kind": "download", "timeout_ms": 8000}], ["crewdesk"])
    for number, machine in enumerate(machines):
        machine.start()
        upstream = harness.Upstream(world, machine, "i-%d" % number)
        await upstream.start()

        async def behave(request, upstream=upstream):
            if "/photos/bundle" in request[0]:
                await asyncio.sleep(WORK_S)
                # The upstream has run the request; its answer is lost.
                if trouble and upstream.state == "draining":
                    world.note("upstream %s has run %s; its answer is lost",
                               upstream.id, request[1]["x-request-id"])
                    return "reset"
            return upstream.success(request)
        upstream.behave = behave
    for machine in machines:
        await world.until_served(machine, "/photos/a")
    await asyncio.sleep(3.5)  # all machines are in touch
    # Connections that are kept for further requests.
    for _ in range(5):
        await asyncio.gather(*[world.request(machine, "GET", "/photos/a", 1000)
                               for machine in machines for _ in range(4)])
    before = len(world.runs)
    consumer = asyncio.create_task(
        world.request(machines[0], "GET", "/photos/bundle", 8000))

    async def runs():
        return len(world.runs) > before
    await world.until(runs, 5, "the request doesn't reach an upstream")
    leaving = world.runs[before][1]
    leaving.state = "draining"
    if not await leaving.beat():
        raise CannotRun("the heartbeat isn't acknowledged")
    acknowledged = time.monotonic()
    world.note("upstream %s is draining; acknowledged", leaving.id)
    await consumer
    late = [run for run in world.runs
            if run[1] is leaving and run[0] - acknowledged > DRAIN_S]
    if late:
        return "DRAIN: %d request(s) reached upstream %s %.2f s after the " \
            "ack that it drains; drain_ms is 2000" % (
                len(late), leaving.id, late[0][0] - acknowledged)
    return ""


harness.main(case, FOLDER)
