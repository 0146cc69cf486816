"""The operator of the managed platform, who writes to its store.

    platform_operator.py STORE publish VERSION   writes a version of config/main
    platform_operator.py STORE write COUNT       writes objects of another kind

Version N has the routes /rN/ and /rM/ for the version M before it, so that a
request shows from outside which version a daemon has in force.
"""
import http.client
import json
import sys

HOST = "shop.example"
SERVICE = "quoting"


def document(version):
    """Returns a version of the configuration."""
    return {
        "version": version,
        "routes": [{"name": "r%d" % number, "host": HOST,
                    "path_prefix": "/r%d/" % number, "kind": "idempotent",
                    "timeout_ms": 2000, "target_latency_ms": 500,
                    "priority": 1, "service": SERVICE, "max_attempts": 2}
                   for number in (version - 1, version)],
        "services": [{"name": SERVICE, "health_path": "/health",
                      "max_connections": 240}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Operator:
    """Writes to the store until it acknowledges."""

    def __init__(self, address):
        host, port = address.split(":")
        self.place = host, int(port)

    def call(self, method, path, value=None, timeout=2):
        """Returns the status and the answer; raises OSError without one."""
        connection = http.client.HTTPConnection(*self.place, timeout=timeout)
        try:
            connection.request(
                method, "/baobabcourse/objects/" + path,
                None if value is None else json.dumps(value),
                {"Content-Type": "application/json", "X-Operator": "1"})
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read() or b"{}")
        except http.client.HTTPException as error:
            raise OSError(str(error)) from error
        finally:
            connection.close()

    def put(self, kind, name, spec):
        """Writes an object; returns whether the store acknowledged it."""
        value = {"metadata": {"name": name}, "spec": spec}
        status, _ = self.call("PUT", kind + "/" + name, value)
        if status == 404:
            status, _ = self.call("POST", kind, value)
        return status in (200, 201)

    def publish(self, version):
        return self.put("config", "main", document(version))


def main():
    store, verb, number = sys.argv[1:]
    operator = Operator(store)
    if verb == "publish":
        return 0 if operator.publish(int(number)) else 1
    written = [operator.put("notes", "note", {"text": str(i)})
               for i in range(int(number))]
    return 0 if all(written) else 1


if __name__ == "__main__":
    sys.exit(main())
