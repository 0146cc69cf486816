"""A recorder of what reaches a daemon, and callers with and without keys.

    workspace_key.py record FILE FROM TO
        Forwards TCP and UDP of one address to another and appends all bytes to
        FILE.
    workspace_key.py call|withdrawn ADMIN TARGET CALLERS FILE KEY SECOND_KEY
        Runs a target that appends all bytes it receives to FILE, and requires
        that calls run exactly if their key is valid. SECOND_KEY is valid until
        it is withdrawn.
"""
import asyncio
import os
import sys

from raw_http import announce, exchange, read_head, status_of

HEADER = "baobab-workspace"


def split(address):
    host, port = address.split(":")
    return host, int(port)


class Forwarder(asyncio.DatagramProtocol):
    def __init__(self, record, to):
        self.record, self.to = record, to

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _):
        self.record(data)
        self.transport.sendto(data, self.to)


async def record_bytes(path, listen, to):
    file = open(path, "ab", buffering=0)

    async def pump(reader, writer, record):
        try:
            while data := await reader.read(65536):
                if record:
                    file.write(data)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def accept(reader, writer):
        try:
            out = await asyncio.open_connection(*split(to))
        except ConnectionError:
            writer.close()
            return
        await asyncio.gather(pump(reader, out[1], True),
                             pump(out[0], writer, False))

    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Forwarder(file.write, split(to)), local_addr=split(listen))
    server = await asyncio.start_server(accept, *split(listen))
    await server.serve_forever()


async def call(mode, admin, target, callers, path, key, second):
    file = open(path, "ab", buffering=0)
    seen = []
    failures = []

    async def serve(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                file.write(head.encode("latin-1"))
                lines = head.split("\r\n")
                fields = [line.split(": ", 1) for line in lines[1:-2]]
                length = [int(v) for n, v in fields
                          if n.lower() == "content-length"]
                await reader.readexactly(length[0] if length else 0)
                seen.append([v for n, v in fields if n.lower() == HEADER])
                if any(n.lower() == "authorization" for n, _ in fields):
                    failures.append("the target received a key: " + head)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    async def request(path, *lines, host="quoting.karri-ridge.example"):
        """Returns the status, the answer and what the target saw."""
        del seen[:]
        answer = await exchange(
            callers, "POST %s HTTP/1.1\r\nHost: %s\r\n%s" %
            (path, host, "".join(line + "\r\n" for line in lines)))
        return status_of(answer), answer, list(seen)

    server = await asyncio.start_server(serve, *split(target))
    announcing = asyncio.create_task(announce(admin, target, 10))
    bearer = "Authorization: Bearer "
    for _ in range(200):
        if (await request("/x", bearer + key))[0] == 200:
            break
        await asyncio.sleep(0.1)
    forged = "Baobab-Workspace: forged"
    named = [["karri"]]
    refused = 401 if mode == "withdrawn" else 200
    cases = [
        ("a key", "/x", [bearer + key], 200, named),
        ("a forged name", "/x", [forged, bearer + key, forged], 200, named),
        ("no key", "/x", [forged], 401, []),
        ("a wrong key", "/x", [bearer + "wrong-key"], 401, []),
        ("two keys", "/x", [bearer + key, bearer + key], 401, []),
        ("another scheme", "/x", ["Authorization: Basic " + key], 401, []),
        ("anonymous", "/open/x", [], 200, [[]]),
        ("anonymous with a key", "/open/x", [forged, bearer + key], 200, [[]]),
        ("the second key", "/x", [bearer + second], refused,
         named if refused == 200 else []),
        ("no route", "/x", [], 404, []),
    ]
    for name, target_path, lines, status, at_target in cases:
        host = {404: "nowhere.example"}.get(
            status, "quoting.karri-ridge.example")
        got, answer, names = await request(target_path, *lines, host=host)
        if (got, names) != (status, at_target):
            failures.append("%s: status %d, target saw %s" % (name, got, names))
        if got == 401 and b"baobab-outcome: not-run" not in answer.lower():
            failures.append("%s: the answer does not say 'not run'" % name)
    announcing.cancel()
    server.close()
    print(mode, len(cases), "cases")
    for failure in failures:
        print("FAILED:", failure)
    sys.stdout.flush()
    # Connections that daemons keep open are not waited for.
    os._exit(1 if failures else 0)


if sys.argv[1] == "record":
    asyncio.run(record_bytes(*sys.argv[2:]))
else:
    asyncio.run(call(*sys.argv[1:]))
