"""A crowd of hostile callers, and an ordinary one.

    hostile_callers.py PATTERN CALLERS_ADDRESS ADMIN_ADDRESS TARGET_ADDRESS PID
                       MB BODY_BYTES CROWD

All of the crowd send at once. Most of them stop just short of the end of their
body and stay open. Checked are: the daemon PID lives, its memory with the bytes
that it has not read yet stays below MB, its descriptors stay below a bound, its
refusals say that the request was not run, and an ordinary request is answered
while the crowd stays.
"""
import asyncio
import os
import re
import socket
import struct
import sys

from raw_http import announce, exchange, read_head, status_of

BLOCK_BYTES = 65536
PIECE_BYTES = 16384
LARGE_CHUNK_BYTES = 1000000
TINY_CHUNK_BYTES = 64
# Bodies over the limit are this many times as large.
EXCESS = 8
# One of so many sends its body to the end.
COMPLETE_ONE_OF = 10
SPARE_DESCRIPTORS = 64
LINGERING_DESCRIPTORS = 16
# Only for failing at last; no check depends on them.
PATIENCE_S = 60
SAMPLE_S = 0.02
NOT_RUN_STATUSES = (408, 413, 429, 503)


def length_field(size):
    return "Content-Length: %d\r\n" % size


CHUNKED = "Transfer-Encoding: chunked\r\n"


def blocks(size, block):
    while size > 0:
        yield b"x" * min(size, block)
        size -= block


def chunks(size, chunk):
    """Yields chunks without the last one, several small ones at once."""
    together = max(1, BLOCK_BYTES // chunk)
    one = b"%x\r\n" % chunk + b"x" * chunk + b"\r\n"
    for _ in range(size // (chunk * together)):
        yield one * together


class Pattern:
    """What a hostile caller sends."""

    def __init__(self, field, start, end, pause=False):
        self.field = field
        self.start = start
        self.end = end
        self.pause = pause


def pattern_named(name, size):
    over = EXCESS * size
    return {
        "whole": Pattern(length_field(size),
                         lambda: blocks(size - 1, size), b"x"),
        "pieces": Pattern(length_field(size),
                          lambda: blocks(size - 1, PIECE_BYTES), b"x", True),
        "large_chunks": Pattern(CHUNKED,
                                lambda: chunks(size, LARGE_CHUNK_BYTES),
                                b"0\r\n\r\n"),
        "tiny_chunks": Pattern(CHUNKED,
                               lambda: chunks(size, TINY_CHUNK_BYTES),
                               b"0\r\n\r\n"),
        "announced_excess": Pattern(length_field(over),
                                    lambda: blocks(over - 1, BLOCK_BYTES),
                                    b"x"),
        "sent_excess": Pattern(CHUNKED, lambda: chunks(over, BLOCK_BYTES),
                               b"0\r\n\r\n"),
    }[name]


class HostileCaller:
    def __init__(self, address, pattern, completes):
        self.address = address
        self.pattern = pattern
        self.completes = completes
        self.answer = b""

    async def send(self):
        """Sends what the daemon takes, and leaves the connection open."""
        host, port = self.address.split(":")
        reader, self.writer = await asyncio.open_connection(host, int(port))
        self.reading = asyncio.ensure_future(self.read(reader))
        sending = asyncio.ensure_future(self.write())
        await asyncio.wait([sending, self.reading],
                           return_when=asyncio.FIRST_COMPLETED)
        sending.cancel()

    async def write(self):
        try:
            self.writer.write((
                "POST /hostile HTTP/1.1\r\nHost: quoting.karri-ridge.example\r\n"
                + self.pattern.field + "\r\n").encode())
            for block in self.pattern.start():
                self.writer.write(block)
                await self.writer.drain()
                if self.pattern.pause:
                    await asyncio.sleep(0)
            if self.completes:
                self.writer.write(self.pattern.end)
            while self.writer.transport.get_write_buffer_size() > 0:
                await asyncio.sleep(SAMPLE_S)
        except ConnectionError:
            pass

    async def read(self, reader):
        try:
            while block := await reader.read(BLOCK_BYTES):
                self.answer += block
        except ConnectionError:
            pass

    def leave(self):
        self.writer.transport.abort()

    def broken_promise(self):
        """Returns the head of a refusal that doesn't say what it must."""
        status = status_of(self.answer)
        head = self.answer.split(b"\r\n\r\n")[0].lower()
        if status == 503 and b"\r\nretry-after:" not in head:
            return head
        if status in NOT_RUN_STATUSES and b"not-run" not in head:
            return head
        return None


class Watch:
    """Samples what the daemon holds."""

    def __init__(self, pid, address):
        self.pid = pid
        host, port = address.split(":")
        self.local = "%08X:%04X" % (
            struct.unpack("<I", socket.inet_aton(host))[0], int(port))
        self.peak = 0
        self.descriptors = 0

    def alive(self):
        return os.path.exists("/proc/%s/statm" % self.pid)

    def memory(self, name):
        with open("/proc/%s/status" % self.pid) as file:
            return int(re.search(name + r":\s+(\d+)", file.read())[1]) * 1024

    def unread(self):
        with open("/proc/net/tcp") as file:
            rows = (line.split() for line in file)
            return sum(int(row[4].split(":")[1], 16) for row in rows
                       if row[1] == self.local and row[3] != "0A")

    def open_descriptors(self):
        return len(os.listdir("/proc/%s/fd" % self.pid))

    async def run(self):
        while self.alive():
            try:
                self.peak = max(self.peak,
                                self.memory("VmRSS") + self.unread(),
                                self.memory("VmHWM"))
                self.descriptors = max(self.descriptors,
                                       self.open_descriptors())
            except (OSError, TypeError):
                return
            await asyncio.sleep(SAMPLE_S)


async def serve(reader, writer):
    """A target that reads each request in full and answers it."""
    try:
        while True:
            head = await read_head(reader)
            length = re.search(r"content-length: *(\d+)", head, re.I)
            left = int(length[1]) if length else 0
            while left > 0:
                left -= len(await reader.readexactly(min(left, BLOCK_BYTES)))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def ordinary_request_answered(callers):
    for _ in range(int(PATIENCE_S / 0.1)):
        try:
            answer = await exchange(
                callers, "POST /ordinary HTTP/1.1\r\n"
                "Host: quoting.karri-ridge.example\r\n", b"y" * 1000)
        except OSError:
            return False
        if status_of(answer) == 200:
            return True
        await asyncio.sleep(0.1)
    return False


async def main():
    name, callers, admin, target, pid, limit_mb, size, count = sys.argv[1:]
    limit = int(limit_mb) << 20
    count = int(count)
    host, port = target.split(":")
    await asyncio.start_server(serve, host, int(port))
    asyncio.ensure_future(announce(admin, target, 2 * count))
    if not await ordinary_request_answered(callers):
        print("the deployment does not serve")
        return 1
    watch = Watch(pid, callers)
    before = watch.memory("VmRSS")
    descriptors = watch.open_descriptors()
    watching = asyncio.ensure_future(watch.run())
    pattern = pattern_named(name, int(size))
    crowd = [HostileCaller(callers, pattern, i % COMPLETE_ONE_OF == 0)
             for i in range(count)]
    await asyncio.wait_for(
        asyncio.gather(*(caller.send() for caller in crowd),
                       return_exceptions=True), PATIENCE_S)
    served = watch.alive() and await ordinary_request_answered(callers)
    for caller in crowd:
        caller.leave()
    for _ in range(int(PATIENCE_S / 0.1)):
        if not watch.alive() or watch.open_descriptors() <= (
                descriptors + LINGERING_DESCRIPTORS):
            break
        await asyncio.sleep(0.1)
    alive = watch.alive()
    freed = alive and (watch.open_descriptors() <=
                       descriptors + LINGERING_DESCRIPTORS)
    watching.cancel()
    broken = [head for head in (caller.broken_promise() for caller in crowd)
              if head]
    statuses = {}
    for caller in crowd:
        status = status_of(caller.answer)
        statuses[status] = statuses.get(status, 0) + 1
    print("%s: memory before %.0f, peak %.0f of %s MB; descriptors before %d, "
          "peak %d; crowd of %d answered %s" %
          (name, before / 2**20, watch.peak / 2**20, limit_mb, descriptors,
           watch.descriptors, count, statuses))
    failures = [text for text, wrong in (
        ("the process has ended", not alive),
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
