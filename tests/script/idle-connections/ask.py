"""ask.py ADDRESS PORT FROM: the status of GET /metrics, asked from FROM."""
import http.client
import sys

address, port, source = sys.argv[1:]
try:
    connection = http.client.HTTPConnection(
        address, int(port), timeout=3, source_address=(source, 0))
    connection.request("GET", "/metrics")
    print(connection.getresponse().status)
except OSError as error:
    print(type(error).__name__)
