"""A target that sends bytes without end, and its callers.

    endless_answers.py CALLERS_ADDRESS ADMIN_ADDRESS TARGET_ADDRESS PID MB

Many requests at once get answers that never end, in several framings. Others
get small answers meanwhile, and all of those must arrive. The memory of the
daemon PID must stay below MB.
"""
import asyncio
import re
import sys

from raw_http import announce, exchange, read_head, status_of

ENDLESS_AT_ONCE = 40
ROUNDS = 3
DEADLINE_MS = 1500
BLOCK = b"x" * 65536
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}


async def serve(reader, writer):
    try:
        while True:
            path = (await read_head(reader)).split(" ")[1]
            framing = path.removeprefix("/endless/")
            if framing not in HEADS:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                await writer.drain()
                continue
            writer.write(HEADS[framing])
            chunk = b"10000\r\n" + BLOCK + b"\r\n"
            while True:
                writer.write(chunk if framing == "chunks" else BLOCK)
                await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def get(callers, path):
    return status_of(await exchange(
        callers, "GET %s HTTP/1.1\r\n"
        "Host: quoting.karri-ridge.example\r\n" % path))


def peak_megabytes(pid):
    with open("/proc/%s/status" % pid) as file:
        return int(re.search(r"VmHWM:\s+(\d+)", file.read())[1]) / 1024


async def main():
    callers, admin, target, pid, limit = sys.argv[1:]
    host, port = target.split(":")
    await asyncio.start_server(serve, host, int(port))
    asyncio.ensure_future(announce(admin, target, 2 * ENDLESS_AT_ONCE))
    for _ in range(200):
        if await get(callers, "/small") == 200:
            break
        await asyncio.sleep(0.05)
    small = []
    for _ in range(ROUNDS):
        framings = list(HEADS) * ENDLESS_AT_ONCE
        endless = asyncio.gather(*(get(callers, "/endless/" + framing)
                                   for framing in framings[:ENDLESS_AT_ONCE]))
        while not endless.done():
            small.append(await get(callers, "/small"))
            await asyncio.sleep(0.05)
    peak = peak_megabytes(pid)
    failed = sum(status != 200 for status in small)
    print("%d of %d small answers failed, peak %.0f MB, limit %s MB" %
          (failed, len(small), peak, limit))
    return 0 if failed == 0 and peak < float(limit) else 1


sys.exit(asyncio.run(main()))
