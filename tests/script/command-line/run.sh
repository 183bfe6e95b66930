# Every subcommand, right and wrong: output, errors and exit status.
. "$(dirname "$0")/../lib.sh"
layout home-1:home:entry,control
daemons_start
run() { # ARGUMENT...
    echo "\$ parsleyspur $*"
    timeout 30 "$BIN" "$@" --server "http://${IP[home-1]}:8080" \
        --token-file "$RUN_DIR/token" 2>&1 | sed -e "s/127\.$B\./127.B./g" \
        -e 's/VERSION *$/VERSION/' -e 's/ *$//'
    echo "status ${PIPESTATUS[0]}"
}
bare() { # ARGUMENT...: without server and token
    echo "\$ parsleyspur $*" | sed "s/127\.$B\./127.B./g"
    timeout 30 "$BIN" "$@" 2>&1 | sed -e "s/127\.$B\./127.B./g" -e 's/ *$//'
    echo "status ${PIPESTATUS[0]}"
}
bare
bare --version
bare --help
bare fly
for command in route pool edit settings; do
    bare $command --help
    bare $command fly
done
bare serve --help | sed -n '1,2p;$p'
bare settings check --data-dir /x --span-sample 7 | grep -e status -e span-s -e data
bare settings check --data-dir /x --span-sample 0
wait_for 10 cli route list
run pool list
run route set alerts --address 10.0.0.1 --pool fieldline --edit-id e1
run pool set fieldline --prefer flows --edit-id e2
run pool set fieldline --prefer flows --edit-id e2
run pool set fieldline --prefer balance --edit-id e3 --base 0
run pool set plansdesk --prefer balance --weight 127.0.0.9=50 --drain 127.0.0.8 --edit-id e4
run pool set 'bad name' --edit-id e5
run pool set desk --prefer both --edit-id e6
run pool set desk --weight 127.0.0.9 --edit-id e7
run route set alerts --address 10.0.0.1 --port 443 --kind stream --pool fieldline --team roofs --edit-id e8
run route set twice --address 10.0.0.1 --port 443 --pool plansdesk --edit-id e9
run route set wrong --address 10.0.0 --pool plansdesk --edit-id e10
run route list
run pool list
run route get alerts
run route get alerts --json
run route get none
run pool delete fieldline --edit-id e11
run route delete alerts --edit-id e12
run route delete alerts --edit-id e13
run route delete
run edit status e8
run edit status e9
run edit status none
# The width of the address column depends on the block of addresses.
run status | grep -e '^daemon ' -e '^in force' -e '^DAEMON' -e status |
    tr -s ' '
bare route list --server "http://${IP[home-1]}:8080"
bare route list --server "http://127.$B.7.7:8080"
