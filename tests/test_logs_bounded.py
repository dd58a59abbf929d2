"""Writing the log never blocks a request, and its volume is limited."""

import os

from twisted.internet.task import Clock

from gentianwharf.logs import BoundedWriter
from gentianwharf.logs._bounded import BURST_LINES, LINES_PER_S, MAX_PENDING_BYTES

LINE = '{"message":"refused","request_id":"9c41"}\n'


def read_all(fileno: int) -> bytes:
    os.set_blocking(fileno, False)
    data = b""
    while True:
        try:
            piece = os.read(fileno, 65_536)
        except BlockingIOError:
            return data
        data += piece


def test_reader_that_stops_reading_does_not_block_writes() -> None:
    """A log collector that hangs must not stall the requests of the host.

    Once the pipe is full, a blocking write waits until the collector reads again.
    """
    clock = Clock()
    reading, writing = os.pipe()
    writer = BoundedWriter(fileno=writing, now_s=clock.seconds)
    line = "x" * 1000 + "\n"
    for _ in range(2000):
        clock.advance(0.02)
        writer.write(line)
        writer.flush()
    assert writer.dropped > 1000
    assert len(writer._pending) <= MAX_PENDING_BYTES + 2 * len(line)
    # The reader resumes: it gets the buffered lines and the number of dropped ones.
    read = read_all(reading)
    writer.write("last\n")
    writer.flush()
    clock.advance(1.0)
    while True:
        writer.flush()
        piece = read_all(reading)
        if not piece:
            break
        read += piece
    writer.write("last\n")
    writer.flush()
    read += read_all(reading)
    assert b"log lines left out" in read
    assert read.endswith(b"last\n")


def test_burst_of_lines_is_rate_limited() -> None:
    clock = Clock()
    reading, writing = os.pipe()
    writer = BoundedWriter(fileno=writing, now_s=clock.seconds)
    written = 0
    for _ in range(10_000):
        writer.write(LINE)
        writer.flush()
        written += read_all(reading).count(b"refused")
        clock.advance(0.001)
    assert written <= BURST_LINES + 10 * LINES_PER_S + 1
    assert writer.dropped == 10_000 - written


def test_closed_reader_raises_no_error() -> None:
    clock = Clock()
    reading, writing = os.pipe()
    os.close(reading)
    writer = BoundedWriter(fileno=writing, now_s=clock.seconds)
    writer.write(LINE)
    writer.flush()


def test_burst_of_refusals_does_not_displace_other_lines() -> None:
    """The log of a host that received a shutdown notice did not contain it.

    The host's failure domain was cut off, and its refusals had used up the rate limit.
    """
    clock = Clock()
    reading, writing = os.pipe()
    writer = BoundedWriter(fileno=writing, now_s=clock.seconds)
    for _ in range(1000):
        writer.write(LINE)
        writer.flush()
        read_all(reading)
    writer.write('{"message":"shutdown: notice"}\n')
    writer.flush()
    assert b"shutdown: notice" in read_all(reading)
