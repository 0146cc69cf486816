"""HTTP without a library, for tests that send and check single bytes."""
import asyncio
import json


async def read_head(reader):
    return (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")


async def exchange(address, head, body=b""):
    """Sends a request on a new connection; returns the bytes of the answer."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write((head + "Connection: close\r\nContent-Length: %d\r\n\r\n" %
                      len(body)).encode("latin-1") + body)
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


def status_of(answer):
    """Returns the status of an answer, 0 if its head is not complete."""
    return int(answer.split(b" ")[1]) if b"\r\n\r\n" in answer else 0


async def announce(admin, target, slots):
    """Announces a target of the service quoting until it is cancelled."""
    body = json.dumps({"service": "quoting", "address": target,
                       "slots": slots, "state": "ready"}).encode()
    while True:
        await exchange(admin, "POST /announce HTTP/1.1\r\nHost: a\r\n", body)
        await asyncio.sleep(1)
