"""A crowd of several kinds of hostile callers at once, and an ordinary one.

    hostile_kinds.py KINDS CALLERS_ADDRESS ADMIN_ADDRESS TARGET_ADDRESS PID
                     MB BODY_BYTES CROWD

KINDS are patterns of hostile_callers.py or "heads", separated by commas; the
crowd has as many callers of each. The checks are those of hostile_callers.py.
"""
import asyncio
import sys

from hostile_callers import (COMPLETE_ONE_OF, LINGERING_DESCRIPTORS,
                             PATIENCE_S, SPARE_DESCRIPTORS, HostileCaller,
                             Watch, ordinary_request_answered, pattern_named,
                             serve)
from raw_http import announce

# Just short of header_bytes, 16384 by default.
HEAD_BYTES = 16000


class HeadCaller(HostileCaller):
    """Sends a head that stops just short of its end."""

    async def write(self):
        try:
            self.writer.write(b"POST /hostile HTTP/1.1\r\nX-Fill: " +
                              b"x" * HEAD_BYTES)
            await self.writer.drain()
        except ConnectionError:
            pass


def caller_of(kind, address, size, completes):
    if kind == "heads":
        return HeadCaller(address, None, False)
    return HostileCaller(address, pattern_named(kind, size), completes)


async def main():
    kinds, callers, admin, target, pid, limit_mb, size, count = sys.argv[1:]
    kinds = kinds.split(",")
    limit = int(limit_mb) << 20
    count = int(count)
    host, port = target.split(":")
    await asyncio.start_server(serve, host, int(port))
    asyncio.ensure_future(announce(admin, target, 2 * count))
    if not await ordinary_request_answered(callers):
        print("the deployment does not serve")
        return 1
    watch = Watch(pid, callers)
    descriptors = watch.open_descriptors()
    watching = asyncio.ensure_future(watch.run())
    crowd = [caller_of(kinds[i % len(kinds)], callers, int(size),
                       i // len(kinds) % COMPLETE_ONE_OF == 0)
             for i in range(count)]
    await asyncio.wait_for(
        asyncio.gather(*(caller.send() for caller in crowd),
                       return_exceptions=True), PATIENCE_S)
    served = watch.alive() and await ordinary_request_answered(callers)
    for caller in crowd:
        caller.leave()
    freed = False
    for _ in range(int(PATIENCE_S / 0.1)):
        freed = watch.alive() and watch.open_descriptors() <= (
            descriptors + LINGERING_DESCRIPTORS)
        if freed or not watch.alive():
            break
        await asyncio.sleep(0.1)
    watching.cancel()
    broken = [head for head in (caller.broken_promise() for caller in crowd)
              if head]
    print("%s: peak %.0f of %s MB; descriptors before %d, peak %d; crowd of %d"
          % (",".join(kinds), watch.peak / 2**20, limit_mb, descriptors,
             watch.descriptors, count))
    failures = [text for text, wrong in (
        ("the process has ended", not watch.alive()),
        ("memory over the limit", watch.peak >= limit),
        ("too many descriptors",
         watch.descriptors > descriptors + count + SPARE_DESCRIPTORS),
        ("descriptors are not freed", not freed),
        ("an ordinary request is not answered", not served),
        ("a refusal without its promise: %s" % broken[:1], bool(broken)),
    ) if wrong]
    for failure in failures:
        print("FAILED: " + failure)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
