"""Pipelines requests to a daemon whose target stalls until it is told to go on.

    pipeline.py HOST RECORD_OF_TARGET PID_OF_DAEMON
"""
import os
import signal
import socket
import sys
import time
import urllib.request

HOST, RECORD, PID = sys.argv[1], sys.argv[2], int(sys.argv[3])


def require(condition, message):
    if not condition:
        sys.exit(f"FAILED: {message}")


def wait_until(condition, message, seconds=10):
    end = time.monotonic() + seconds
    while not condition():
        require(time.monotonic() < end, message)
        time.sleep(0.02)


def stall(state):
    urllib.request.urlopen(f"http://{HOST}:8000/control/stall",
                           state.encode()).read()


def started():
    """IDs of the calls that the target has begun to run."""
    with open(RECORD) as record:
        return [line.split()[0] for line in record]


def running():
    """Number of calls that the daemon has at its target."""
    text = urllib.request.urlopen(f"http://{HOST}:7200/metrics").read().decode()
    return next(int(line.split()[1]) for line in text.splitlines()
                if line.startswith("baobab_target_running "))


def get(name, headers=""):
    return (f"GET /{name} HTTP/1.1\r\nHost: quoting.karri-ridge.example\r\n"
            f"X-Call-Id: {name}\r\n{headers}\r\n").encode()


def post(name):
    return (f"POST /{name} HTTP/1.1\r\nHost: quoting.karri-ridge.example\r\n"
            f"X-Call-Id: {name}\r\nContent-Length: 1\r\n\r\nx").encode()


def connect(data):
    connection = socket.create_connection((HOST, 8080))
    connection.settimeout(15)
    connection.sendall(data)
    return connection


def answers(connection):
    """Names of the answered calls until the daemon closes the connection."""
    data = b""
    while part := connection.recv(65536):
        data += part
    return [piece.split()[0].decode() for piece in data.split(b"answer to ")[1:]]


def requests_run_side_by_side_and_are_answered_in_order():
    stall("on")
    connection = connect(get("a1") + get("a2") + post("a3") +
                         get("a4", "Connection: close\r\n") + get("a5"))
    wait_until(lambda: running() == 2, "a1 and a2 do not run side by side")
    require(sorted(started()) == ["a1", "a2"], f"started: {started()}")
    stall("off")
    got = answers(connection)
    require(got == ["a1", "a2", "a3", "a4"], f"answers: {got}")
    require("a5" not in started(), "a5 ran behind a closing answer")


def a_caller_that_leaves_ends_all():
    stall("on")
    connection = connect(get("b1") + get("b2") + get("b3") + post("b4"))
    wait_until(lambda: running() == 3, "b1 to b3 do not run side by side")
    connection.close()
    wait_until(lambda: running() == 0, "requests outlive their caller", 3)
    connection = connect(get("c1", "Connection: close\r\n") + get("c2"))
    wait_until(lambda: running() == 1, "c1 does not run")
    connection.close()
    wait_until(lambda: running() == 0, "c1 outlives its caller", 3)
    stall("off")
    require(not {"b4", "c2"} & set(started()), f"started: {started()}")


def a_shutdown_answers_what_was_read():
    stall("on")
    connection = connect(get("d1") + get("d2") + get("d3"))
    wait_until(lambda: running() == 3, "d1 to d3 do not run side by side")
    os.kill(PID, signal.SIGTERM)
    time.sleep(0.3)
    stall("off")
    got = answers(connection)
    require(got == ["d1", "d2", "d3"], f"answers: {got}")


for case in (requests_run_side_by_side_and_are_answered_in_order,
             a_caller_that_leaves_ends_all, a_shutdown_answers_what_was_read):
    case()
    print(f"ok {case.__name__}")
