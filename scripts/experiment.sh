# Functions of the experiment scripts; must be sourced from the repository's root.
# describe() sets the arguments of bluebellload for a deployment: the arrays vms,
# targets (of the first service), runs_from (one target of each process) and teams.

# one_at_a_time DEPLOYMENT: takes a lock on the deployment's ports on this machine
# and holds it until the script ends.
one_at_a_time() {
    exec 9>"${TMPDIR:-/tmp}/bluebellshift-$1.lock"
    flock 9
}

build=${BLUEBELLSHIFT_BUILD:-build/release}
load=$build/bluebellshift/load/bluebellload
results=build/results
mkdir -p "$results"

# endpoint_args OPTION FIRST_PORT COUNT: prints "OPTION 127.0.0.1:PORT" for each port.
endpoint_args() {
    local port
    for port in $(seq "$2" $(($2 + $3 - 1))); do
        printf '%s 127.0.0.1:%d ' "$1" "$port"
    done
}

# describe DEPLOYMENT PERCENT: each team sends PERCENT of its limit.
describe() {
    local percent=$2 caller_base target_base index team
    case $1 in
        association) caller_base=21001; target_base=23000; service=rota; path=/turns
            once=/turns/swap
            limits=(multan=400 lahore=350 peshawar=250 karachi=150 hyderabad=120 mardan=100
                    sahiwal=80 swat=50)
            clients=(39.32.0.1 39.32.0.2 111.68.96.1 103.4.92.1 103.4.92.2 121.52.144.1
                     39.32.0.3 121.52.144.2) ;;
        kolednik) caller_base=31001; target_base=33000; service=box-office; path=/holds
            once=/holds/take
            limits=(krakow-halls=500 warszawa-troupes=450 gdansk-halls=350 lublin-carols=200
                    poznan-carols=150 tarnow-parish=120 elblag-parish=80 zakopane-troupes=50)
            clients=(31.0.0.1 83.0.0.1 37.47.0.1 83.0.0.2 83.0.0.3 46.134.0.1 178.36.0.1
                     31.0.0.2) ;;
        *) echo "deployment \"$1\" does not exist" >&2; exit 2 ;;
    esac
    platform_port=$((caller_base - 921))
    read -ra vms <<<"$(endpoint_args -v "$caller_base" 12)"
    read -ra targets <<<"$(endpoint_args -v "$target_base" 12) \
        $(endpoint_args -v $((target_base + 20)) 12) $(endpoint_args -v $((target_base + 40)) 11)"
    runs_from=()
    for index in 0 1 2 3 4 5; do
        runs_from+=(--runs-from "127.0.0.1:$((target_base + 20 * index))")
    done
    teams=()
    for index in "${!limits[@]}"; do
        team=${limits[$index]}
        local limit=${team#*=}
        teams+=(-t "name=${team%=*},key=sample-key-of-${team%=*},limit=$limit,burst=$((2 * limit))\
,rate=$((limit * percent / 100)),client=${clients[$index]}")
    done
    service_args=(-s "name=$service,path=$path,once=$once")
}
