"""Stand-in for the managed platform's object store, one process.

    platform_store.py ADDRESS JOURNAL [--lose WRITES] [--no-era]
                      [--operator-only]

Every write is appended to JOURNAL before it is acknowledged, so that the next
process continues where this one ended. With --lose the last WRITES writes are
dropped first, as if the store came back from an older copy: revisions go back
and are given out again, and the header Store-Era rises by one. With --no-era the
header is left out.

POST /faults takes {"mode": "none" | "busy" | "reset" | "silent"}, and
{"operator_only": true} to serve only requests with the header X-Operator, as
--operator-only does from the start.
POST /compact drops the history. GET /stats returns the revision and the era.
"""
import argparse
import asyncio
import json
import os
import time
import urllib.parse

FIRST_REVISION = 100
OBJECTS = "/baobabcourse/objects/"
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict",
           410: "Gone", 503: "Service Unavailable"}


class Journal:
    """File with one JSON line for each write, and one for each era."""

    def __init__(self, path):
        self.path = path

    def read(self):
        if not os.path.exists(self.path):
            return []
        with open(self.path, encoding="utf-8") as file:
            return [json.loads(line) for line in file]

    def drop_last_writes(self, count):
        entries = self.read()
        for _ in range(count):
            last = max((i for i, entry in enumerate(entries)
                        if "kind" in entry), default=None)
            if last is None:
                break
            del entries[last]
        with open(self.path, "w", encoding="utf-8") as file:
            file.writelines(json.dumps(entry) + "\n" for entry in entries)

    def append(self, entry):
        with open(self.path, "a", encoding="utf-8") as file:
            file.write(json.dumps(entry) + "\n")


class Store:
    def __init__(self, journal, names_era=True, operator_only=False):
        self.journal = journal
        self.names_era = names_era
        self.revision = FIRST_REVISION
        self.era = 1
        self.objects = {}
        self.history = []
        # Revision up to which the history is gone.
        self.compacted = FIRST_REVISION
        self.mode = "none"
        self.operator_only = operator_only
        self.changed = asyncio.Condition()
        for entry in journal.read():
            if "era" in entry:
                self.era = entry["era"]
            else:
                self.apply(entry)
        # A new process has the objects, not the history.
        self.history = []
        self.compacted = self.revision

    def begin_era(self):
        self.era += 1
        self.journal.append({"era": self.era})

    def apply(self, entry):
        key = entry["kind"], entry["name"]
        self.revision += 1
        if entry["deleted"]:
            removed = self.objects.pop(key)
            event = {"deleted": True, "object": removed}
        else:
            self.objects[key] = {
                "metadata": {"name": entry["name"], "revision": self.revision,
                             "created_at": 0, "finalizers": [],
                             "deleting": False},
                "spec": entry["spec"], "status": None}
            event = {"deleted": False, "object": self.objects[key]}
        self.history.append((self.revision, entry["kind"], event))

    async def write(self, kind, name, spec, deleted=False):
        old = self.objects.get((kind, name))
        if old is not None and not deleted and old["spec"] == spec:
            return old
        entry = {"kind": kind, "name": name, "spec": spec, "deleted": deleted}
        self.journal.append(entry)
        self.apply(entry)
        async with self.changed:
            self.changed.notify_all()
        return self.objects.get((kind, name), old)

    def fault_for(self, headers):
        if self.operator_only and "x-operator" not in headers:
            return self.mode if self.mode != "none" else "busy"
        return "none" if self.operator_only else self.mode

    async def handle(self, method, target, headers, body):
        """Returns status and JSON value; None to close the connection."""
        if target == "/faults":
            faults = json.loads(body)
            self.mode = faults.get("mode", self.mode)
            self.operator_only = faults.get("operator_only",
                                            self.operator_only)
            return 200, {}
        if target == "/compact":
            self.history = []
            self.compacted = self.revision
            return 200, {}
        if target == "/stats":
            return 200, {"revision": self.revision, "era": self.era}
        fault = self.fault_for(headers)
        if fault == "busy":
            return 503, {}
        if fault == "reset":
            return None
        if fault == "silent":
            while self.fault_for(headers) == "silent":
                await asyncio.sleep(0.05)
            return None
        url = urllib.parse.urlsplit(target)
        if not url.path.startswith(OBJECTS):
            return 404, {}
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, _, name = urllib.parse.unquote(
            url.path[len(OBJECTS):]).partition("/")
        if method == "GET":
            return await self.read(kind, name, query, headers)
        return await self.change(method, kind, name, query,
                                 json.loads(body or b"{}"))

    async def read(self, kind, name, query, headers):
        if name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if "watch" in query:
            return await self.watch(kind, query, headers)
        return 200, {"items": [self.objects[key]
                               for key in sorted(self.objects)
                               if key[0] == kind and
                               key[1] > query.get("after", "")],
                     "more": False, "current_rev": self.revision}

    async def watch(self, kind, query, headers):
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if since < self.compacted or since > self.revision:
                return 410, {}
            events = [event for revision, event_kind, event in self.history
                      if revision > since and event_kind == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            if self.fault_for(headers) != "none":
                return None
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           min(left, 0.05))
                except asyncio.TimeoutError:
                    pass

    async def change(self, method, kind, name, query, body):
        metadata = body.get("metadata", {})
        name = name or metadata["name"]
        found = self.objects.get((kind, name))
        if method == "POST":
            if found:
                return 409, found
            return 201, await self.write(kind, name, body.get("spec"))
        if found is None:
            return 404, {}
        expected = metadata.get("revision", query.get("revision"))
        if expected is not None and int(expected) != \
                found["metadata"]["revision"]:
            return 409, found
        return 200, await self.write(kind, name, body.get("spec"),
                                     method == "DELETE")


class Server:
    def __init__(self, store):
        self.store = store

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.strip().split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {name.lower(): value.strip() for name, _, value in
                           (line.partition(":") for line in lines)}
                body = await reader.readexactly(
                    int(headers.get("content-length", "0")))
                answer = await self.store.handle(method, target, headers, body)
                if answer is None:
                    break
                self.send(writer, *answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    def send(self, writer, status, value):
        body = json.dumps(value).encode()
        era = ("Store-Era: %d\r\n" % self.store.era
               if self.store.names_era else "")
        writer.write((
            "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
            "%sContent-Length: %d\r\n\r\n" %
            (status, REASONS[status], era, len(body))).encode() + body)


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("address")
    parser.add_argument("journal")
    parser.add_argument("--lose", type=int, default=0)
    parser.add_argument("--no-era", action="store_true")
    parser.add_argument("--operator-only", action="store_true")
    arguments = parser.parse_args()
    journal = Journal(arguments.journal)
    if arguments.lose:
        journal.drop_last_writes(arguments.lose)
    store = Store(journal, not arguments.no_era, arguments.operator_only)
    if arguments.lose:
        store.begin_era()
    host, port = arguments.address.split(":")
    server = await asyncio.start_server(Server(store).serve, host, int(port),
                                        backlog=512)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
