# Spans of every flow of a fleet: one for each hop, one trace over the daemons
# that a flow's packets come through.
SPANS=1
. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../fleet.sh"
fleet_start 3 3
hosts_start 6
fleet_serves 1
kill -TERM "${PID[entry-1]}" # the flows move to other daemons
wait_for 10 not is_running entry-1 && echo "entry-1 has ended"
mark
wait_for 15 served 100 && echo "served"
cat "$RUN_DIR"/entry-*.spans >"$RUN_DIR/all"
echo "hops:"
grep -o '"name":"[a-z-]*"' "$RUN_DIR/all" | sort -u | grep -v refuse
traces_over_several() {
    grep -ho -e '"service.instance.id","value":{"stringValue":"[^"]*"' \
        -e '"traceId":"[0-9a-f]\{32\}"' "$RUN_DIR/all" | paste - - | sort -u |
        awk -F'\t' '{ seen[$2]++ } END { for (t in seen) if (seen[t] > 1) n++
            print (n > 0 ? "some" : "none") }'
}
echo "traces over several daemons: $(traces_over_several)"
PARSLEYSPUR_SPAN_FILE=$RUN_DIR/none/spans \
    PARSLEYSPUR_NODE_FILE=$RUN_DIR/entry-1.json "$BIN" entry 2>&1 |
    sed "s|$RUN_DIR|RUN|"
PARSLEYSPUR_SPAN_SAMPLE=often \
    PARSLEYSPUR_NODE_FILE=$RUN_DIR/entry-1.json "$BIN" entry 2>&1
promises
