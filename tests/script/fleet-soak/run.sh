# A short run of the fleet's soak, with a fixed seed.
root=$(cd "$(dirname "$0")/../../.." && pwd)
python3 "$root/tests/soak/fleet_soak.py" 1 12 | tail -n 1
