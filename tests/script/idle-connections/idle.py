"""idle.py ADDRESS PORT FROM COUNT SECONDS: half a request line on each of
COUNT connections, held for SECONDS."""
import socket
import sys
import time

address, port, source, count, seconds = sys.argv[1:]
end = time.monotonic() + float(seconds)
held = []
for _ in range(int(count)):
    sock = socket.socket()
    sock.settimeout(0.5)
    try:
        sock.bind((source, 0))
        sock.connect((address, int(port)))
        sock.send(b"GET /v1/sta")
    except OSError:
        sock.close()
        continue
    held.append(sock)
time.sleep(max(0, end - time.monotonic()))
