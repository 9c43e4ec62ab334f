# Functions that the scripts share which start stand-ins and programs and stop exactly what they started.
# The script sets: home, bin, work (a directory of its own).

pids=()

# Starts a program in the background. Arguments: name, command.
start() {
	local name="$1"; shift
	"$@" >"$work/$name.out" 2>"$work/$name.log" &
	last_pid=$!
	pids+=("$last_pid")
	echo "$last_pid" >"$work/$name.pid"
}

# Stops every program that start started, by its id.
stop_all() {
	local pid until=$((SECONDS + 10))
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
	for pid in "${pids[@]}"; do
		while kill -0 "$pid" 2>/dev/null && [ $SECONDS -lt $until ]; do sleep 0.1; done
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
}

# Waits for the ready line of a program and prints its port. Arguments: name, kind.
port_of() {
	local i port
	for i in $(seq 1 300); do
		port="$(sed -n "s/.*\"event\":\"ready\".*\"kind\":\"$2\".*\"port\":\([0-9]*\).*/\1/p" "$work/$1.out" | head -1)"
		[ -n "$port" ] && { echo "$port"; return 0; }
		sleep 0.1
	done
	echo "$1 did not start, see $work/$1.log" >&2
	return 1
}

# Puts an endpoint on the host list. Arguments: endpoint, address, domain, service, kind.
register() {
	"$bin/bamboorelay-load" put --address "$host_list" --path "/hosts/$1" \
		--body "{\"address\":\"$2\",\"domain\":\"$3\",\"service\":\"$4\",\"kind\":\"$5\",\"state\":\"live\"}"
}

# Starts the platform and sets the addresses of its interfaces.
start_platform() {
	start platform "$bin/bamboorelay-standin" --kind platform --lag-ms 200 --record-limit 200000
	store="127.0.0.1:$(port_of platform object-api)" || return 1
	ordering="127.0.0.1:$(port_of platform ordering)"
	intake="127.0.0.1:$(port_of platform usage-intake)"
	host_list="127.0.0.1:$(port_of platform host-list)"
	weight_store="127.0.0.1:$(port_of platform weight-store)"
}
