"""A crowd of callers that keep their connections, and an ordinary one.

    hostile_connections.py KIND CALLERS_ADDRESS TARGET_ADDRESS ADMIN_ADDRESS PID
                           DESCRIPTORS CROWD [OPENED DONE]

KIND is idle (each is served one request and stays), heads (half a head) or
mixed (nothing, half a head, a body just short of its end). Nobody in the crowd
closes a connection. Checked are: the daemon PID lives, its open descriptors
stay below DESCRIPTORS, and an ordinary request on a new connection is answered
while the crowd stays, and after it. With OPENED and DONE the file OPENED is
created when the crowd stands, and the crowd stays until DONE exists.
"""
import asyncio
import os
import sys

from raw_http import announce, exchange, status_of

from hostile_callers import PATIENCE_S, SAMPLE_S, Watch, serve

HOST = "Host: quoting.karri-ridge.example\r\n"
HALF_HEAD = "POST /hostile HTTP/1.1\r\nHost: quo"
SHORT_BODY = ("POST /hostile HTTP/1.1\r\n" + HOST +
              "Content-Length: 100\r\n\r\n" + 99 * "x")
SERVED = "GET /served HTTP/1.1\r\n" + HOST + "\r\n"
TEXTS = {"idle": [SERVED], "heads": [HALF_HEAD],
         "mixed": ["", HALF_HEAD, SHORT_BODY]}
# A request that gets no answer in this time is tried again.
ATTEMPT_S = 5
# The first caller of the crowd that is not served waits so long.
SERVED_S = 1


async def enter(address, text, held):
    """Opens one connection of the crowd, which stays open at this end."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), ATTEMPT_S)
        held.append((reader, writer))
        writer.write(text.encode())
        if text == SERVED:
            await asyncio.wait_for(reader.read(1), SERVED_S)
    except (OSError, asyncio.TimeoutError):
        pass


async def ordinary_request_answered(callers):
    """Retries with new connections, for as long as callers are patient."""
    loop = asyncio.get_running_loop()
    end = loop.time() + PATIENCE_S
    while loop.time() < end:
        try:
            answer = await asyncio.wait_for(
                exchange(callers, "POST /ordinary HTTP/1.1\r\n" + HOST,
                         b"y" * 1000), ATTEMPT_S)
            if status_of(answer) == 200:
                return True
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.1)
    return False


async def main():
    kind, callers, target, admin, pid, bound, count = sys.argv[1:8]
    files = sys.argv[8:]
    host, port = target.split(":")
    await asyncio.start_server(serve, host, int(port))
    asyncio.ensure_future(announce(admin, target, 64))
    if not await ordinary_request_answered(callers):
        print("the deployment does not serve")
        return 1
    watch = Watch(pid, callers)
    before = watch.open_descriptors()
    watching = asyncio.ensure_future(watch.run())
    held = []
    for i in range(int(count)):
        await enter(callers, TEXTS[kind][i % len(TEXTS[kind])], held)
    loop = asyncio.get_running_loop()
    start = loop.time()
    beside = await ordinary_request_answered(callers)
    waited = loop.time() - start
    if files:
        open(files[0], "w").close()
        while watch.alive() and not os.path.exists(files[1]):
            await asyncio.sleep(SAMPLE_S)
        beside = beside and await ordinary_request_answered(callers)
    for _, writer in held:
        writer.transport.abort()
    after = await ordinary_request_answered(callers)
    watching.cancel()
    print("%s: descriptors before %d, peak %d of %s; crowd of %s; ordinary "
          "request beside it after %.1f s" %
          (kind, before, watch.descriptors, bound, count, waited))
    failures = [text for text, wrong in (
        ("the process has ended", not watch.alive()),
        ("too many descriptors", watch.descriptors >= int(bound)),
        ("an ordinary request is not answered beside the crowd", not beside),
        ("an ordinary request is not answered after the crowd", not after),
    ) if wrong]
    for failure in failures:
        print("FAILED: " + failure)
    return 1 if failures else 0


sys.exit(asyncio.run(main()))
