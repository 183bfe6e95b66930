# Starts that cannot be: each ends with a message that names the remedy.
. "$(dirname "$0")/../lib.sh"
layout home-1:home:entry,control
fabric_start
daemons_start
try() { # ARGUMENT...
    PARSLEYSPUR_ADDRESS=127.$B.2.9 PARSLEYSPUR_ADMIN=127.$B.2.9:8080 \
        timeout 10 "$BIN" serve "$@" 2>&1 | sed -e "s/127\.$B\./127.B./g" -e "s|$RUN_DIR|RUN|g" |
        grep '^parsleyspur:'
    echo "status ${PIPESTATUS[0]}"
}
step "a data folder that another process holds"
try --data-dir "$RUN_DIR/data-home-1"
step "a port that is taken"
mkdir "$RUN_DIR/data-2"
try --data-dir "$RUN_DIR/data-2" --address "${IP[home-1]}"
step "an administration address that is taken"
try --data-dir "$RUN_DIR/data-2" --admin "${IP[home-1]}:8080"
step "a data folder that is a file"
touch "$RUN_DIR/file"
try --data-dir "$RUN_DIR/file"
step "a damaged file of tables"
echo damaged >"$RUN_DIR/data-2/tables"
try --data-dir "$RUN_DIR/data-2"
rm "$RUN_DIR/data-2/tables"
step "no token"
try --data-dir "$RUN_DIR/data-2" --token-file "$RUN_DIR/none"
step "spans that cannot be written"
try --data-dir "$RUN_DIR/data-2" --span-file "$RUN_DIR/none/spans"
step "settings"
try
try --data-dir "$RUN_DIR/data-2" --name a --name b
try --data-dir "$RUN_DIR/data-2" --colour red
PARSLEYSPUR_COLOUR=red try --data-dir "$RUN_DIR/data-2"
