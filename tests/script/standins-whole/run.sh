# The stand-ins by themselves: one target behind a faulty fabric, no daemon.
# Retransmission must hide the faults, and the ledgers must agree.
. "$(dirname "$0")/../lib.sh"
TARGET_UP=127.$B.9.2:6081
fabric_start --entry "127.$B.11.1:6081"
ZONES=(suva)
target_start fieldline-1 fieldline suva --slots 50
ctl fabric "fault * * loss=3 reorder=10 delay=2 jitter=3" >/dev/null
caller_start inspectors fieldline 10.0.0.1:443 --streams 200 --period-ms 200
caller_start fitters fieldline 10.0.0.2:80 --calls-per-s 100 --parts-max 3 \
    --resend-ms 0 --deadline-ms 1000
sleep 3
echo "lost some: $([ "$(value fabric lost)" -gt 0 ] && echo yes)"
ctl fabric clear
callers_stop
check_ledger --min-streams 200 --min-answers 200 --allow-timeout 100
