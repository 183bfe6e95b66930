# The disks of two control daemons are full during the first start, one after
# the other: the fleet never formed, since a daemon whose log failed opened it
# again as one that may not form a fleet.
. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../fleet.sh"
SEED_NUMBERS=(1 2 3)
CONTROLS=(control-1 control-2 control-3)
daemon_up_with_full_disk control-1 true
daemon_up control-2 true
daemon_up control-3 true
sleep 2
disk_full control-2
disk_has_room control-1
# A log that failed is opened again each second.
sleep 2.5
disk_has_room control-2
leads() {
    local n
    for n in "${CONTROLS[@]}"; do
        [ "$(metric_is_set "$n" quorum_leading)" -eq 1 ] && return
    done
    return 1
}
wait_for 10 leads && echo "a leader"
echo "tables: $(put 1 0)"
reads 1 && echo "and read"
