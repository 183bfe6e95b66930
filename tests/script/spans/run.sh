# Spans of every flow and call: one for each hop, one trace over the daemons.
. "$(dirname "$0")/../lib.sh"
layout_small
fabric_start
for name in "${DAEMONS[@]}"; do
    daemon_start "$name" --span-file "$RUN_DIR/$name.spans" --span-sample 1 \
        --span-max 1
done
for name in "${DAEMONS[@]}"; do
    wait_for 10 port_open "${IP[$name]}" 8080 || give_up "$name"
done
service_set fieldline 0 flows
targets_start fieldline 3 --service-ms 20
traffic_start fieldline 0 40 5 20
sleep 2
callers_stop
cat "$RUN_DIR"/*.spans >"$RUN_DIR/all"
echo "hops:"
grep -o '"name":"[a-z-]*"' "$RUN_DIR/all" | sort -u
echo "traces over several daemons: $(grep -ho \
    -e '"service.instance.id","value":{"stringValue":"[^"]*"' \
    -e '"traceId":"[0-9a-f]\{32\}"' "$RUN_DIR/all" | paste - - | sort -u |
    awk -F'\t' '{ seen[$2]++ } END { for (t in seen) if (seen[t] > 1) n++
        print (n > 20 ? "many" : n + 0) }')"
echo "lines that are no JSON: $(python3 -c '
import json, sys
bad = 0
for line in open(sys.argv[1]):
    try:
        json.loads(line)
    except ValueError:
        bad += 1
print(bad)' "$RUN_DIR/all")"
broken_promises --min-streams 40 --min-answers 40
