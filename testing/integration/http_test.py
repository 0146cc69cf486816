"""Sends unusual and invalid HTTP requests to a daemon and checks its answers:
pipelined, chunked, slow, too large and malformed requests to the callers' port,
and unknown commands and invalid announcements to the admin port.

    http_test.py CALLERS_ADDRESS ADMIN_ADDRESS
"""
import socket
import sys

HOST = b"Host: quoting.karri-ridge.example\r\n"


def connect():
    address, port = sys.argv[1].split(":")
    connection = socket.create_connection((address, int(port)))
    connection.settimeout(15)
    return connection


def read_answer(stream):
    status = int(stream.readline().split()[1])
    headers = {}
    while (line := stream.readline().strip()) != b"":
        name, value = line.split(b":", 1)
        headers[name.lower()] = value.strip()
    body = stream.read(int(headers.get(b"content-length", 0)))
    return status, headers, body


def exchange(data):
    with connect() as connection:
        connection.sendall(data)
        return read_answer(connection.makefile("rb"))


def require(condition, message):
    if not condition:
        sys.exit(f"FAILED: {message}")


def pipelined_requests_are_answered_in_order():
    requests = b"".join(
        b"GET / HTTP/1.1\r\n" + HOST + b"X-Call-Id: p%d\r\n\r\n" % i
        for i in range(8))
    with connect() as connection:
        connection.sendall(requests)
        stream = connection.makefile("rb")
        for i in range(8):
            status, _, body = read_answer(stream)
            require(status == 200 and body == b"answer to p%d " % i,
                    f"pipelined {i}: {status} {body}")


def chunked_body_is_forwarded_completely():
    status, _, body = exchange(
        b"POST / HTTP/1.1\r\n" + HOST + b"X-Call-Id: c\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
    require(status == 200 and body == b"answer to c abcdefg",
            f"chunked: {status} {body}")


def body_over_the_limit_is_refused():
    status, headers, _ = exchange(
        b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 99999999\r\n\r\n")
    require(status == 413 and headers[b"baobab-outcome"] == b"not-run",
            f"large body: {status} {headers}")


def chunked_body_over_the_limit_is_refused():
    chunk = b"100000\r\n" + b"x" * 0x100000 + b"\r\n"
    status, headers, _ = exchange(
        b"POST / HTTP/1.1\r\n" + HOST +
        b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 2)
    require(status == 413 and headers[b"baobab-outcome"] == b"not-run",
            f"large chunks: {status} {headers}")


def header_over_the_limit_is_refused():
    status, headers, _ = exchange(
        b"GET / HTTP/1.1\r\n" + HOST + b"X-Long: " + b"y" * 30000 + b"\r\n\r\n")
    require(status == 431 and headers[b"baobab-outcome"] == b"not-run",
            f"large header: {status} {headers}")


def slow_caller_is_refused():
    status, headers, _ = exchange(b"GET / HTTP/1.1\r\nHost: quo")
    require(status == 408 and headers[b"baobab-outcome"] == b"not-run",
            f"slow: {status} {headers}")


def malformed_request_is_refused():
    status, headers, _ = exchange(b"NONSENSE\r\n\r\n")
    require(status == 400 and headers[b"baobab-outcome"] == b"not-run",
            f"nonsense: {status} {headers}")


def unknown_host_is_refused():
    status, headers, _ = exchange(b"GET / HTTP/1.1\r\nHost: nobody\r\n\r\n")
    require(status == 404 and headers[b"baobab-outcome"] == b"not-run",
            f"unknown host: {status} {headers}")


def call_with_expired_deadline_is_not_run():
    status, headers, _ = exchange(
        b"GET / HTTP/1.1\r\n" + HOST + b"Baobab-Deadline-Ms: 0\r\n\r\n")
    require(status in (503, 504) and headers[b"baobab-outcome"] == b"not-run",
            f"expired: {status} {headers}")


def answer_to_head_has_no_body():
    with connect() as connection:
        connection.sendall(b"HEAD / HTTP/1.1\r\n" + HOST + b"\r\n"
                           b"GET / HTTP/1.1\r\n" + HOST +
                           b"X-Call-Id: after\r\n\r\n")
        stream = connection.makefile("rb")
        status = int(stream.readline().split()[1])
        while stream.readline().strip() != b"":
            pass
        require(status == 200, f"HEAD: {status}")
        status, _, body = read_answer(stream)
        require(body == b"answer to after ", f"after HEAD: {status} {body}")


def expect_continue_is_answered():
    with connect() as connection:
        connection.sendall(b"POST / HTTP/1.1\r\n" + HOST +
                           b"X-Call-Id: e\r\nExpect: 100-continue\r\n"
                           b"Content-Length: 2\r\n\r\n")
        stream = connection.makefile("rb")
        require(b"100" in stream.readline(), "no 100 Continue")
        while stream.readline().strip() != b"":
            pass
        connection.sendall(b"ok")
        status, _, body = read_answer(stream)
        require(status == 200 and body == b"answer to e ok",
                f"continue: {status} {body}")


def admin_port_offers_no_commands():
    address, port = sys.argv[2].split(":")
    for path in (b"/stop", b"/drain", b"/config"):
        with socket.create_connection((address, int(port))) as connection:
            connection.sendall(b"POST " + path + b" HTTP/1.1\r\nHost: a\r\n"
                               b"Content-Length: 0\r\n\r\n")
            status, _, _ = read_answer(connection.makefile("rb"))
            require(status == 404, f"admin {path}: {status}")


def invalid_announcement_names_the_missing_member():
    address, port = sys.argv[2].split(":")
    body = b'{"service": "quoting", "address": "127.0.0.1:1", "state": "ready"}'
    with socket.create_connection((address, int(port))) as connection:
        connection.sendall(b"POST /announce HTTP/1.1\r\nHost: a\r\n"
                           b"Content-Length: %d\r\n\r\n" % len(body) + body)
        status, _, text = read_answer(connection.makefile("rb"))
        require(status == 400 and b"'slots'" in text, f"announce: {text}")


CASES = [case for name, case in list(globals().items())
         if callable(case) and name not in
         ("connect", "read_answer", "exchange", "require")]

for case in CASES:
    case()
    print(f"ok {case.__name__}")
