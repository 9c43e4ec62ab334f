# Shared functions to start stand-ins and programs, and to stop only the processes started here.
# The calling script must set home, bin and work (a directory for its exclusive use).

pids=()

# Starts a program in the background. Arguments: name, command.
start() {
	local name="$1"; shift
	"$@" >"$work/$name.out" 2>"$work/$name.log" &
	last_pid=$!
	pids+=("$last_pid")
	echo "$last_pid" >"$work/$name.pid"
}

# Stops every process started by start, by process id. Sends SIGTERM, then SIGKILL to those still running after 10 s.
stop_all() {
	local pid until=$((SECONDS + 10))
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
	for pid in "${pids[@]}"; do
		while kill -0 "$pid" 2>/dev/null && [ $SECONDS -lt $until ]; do sleep 0.1; done
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
}

# Waits up to 30 s for the ready line of a program and prints its port. Arguments: name, kind.
port_of() {
	local i port
	for i in $(seq 1 300); do
		port="$(sed -n "s/.*\"event\":\"ready\".*\"kind\":\"$2\".*\"port\":\([0-9]*\).*/\1/p" "$work/$1.out" | head -1)"
		[ -n "$port" ] && { echo "$port"; return 0; }
		sleep 0.1
	done
	echo "$1 printed no ready line within 30 s; see $work/$1.log" >&2
	return 1
}

# Sends an HTTP PUT request without the cost of starting a JVM. Arguments: address, path, JSON.
put_json() {
	local line
	exec 9<>"/dev/tcp/${1%:*}/${1##*:}" || return 1
	printf 'PUT %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
		"$2" "$1" "${#3}" "$3" >&9
	IFS= read -r line <&9
	exec 9>&-
	[[ "$line" == "HTTP/1.1 200"* ]] || { echo "PUT $2: $line" >&2; return 1; }
}

# Adds an endpoint to the host list. Arguments: endpoint, address, domain, service, kind.
register() {
	put_json "$host_list" "/hosts/$1" \
		"{\"address\":\"$2\",\"domain\":\"$3\",\"service\":\"$4\",\"kind\":\"$5\",\"state\":\"live\"}"
}

# Starts the platform stand-in and sets the variables that hold the addresses of its interfaces.
start_platform() {
	start platform "$bin/bamboorelay-standin" --kind platform --lag-ms 200 --record-limit 200000
	store="127.0.0.1:$(port_of platform object-api)" || return 1
	ordering="127.0.0.1:$(port_of platform ordering)"
	intake="127.0.0.1:$(port_of platform usage-intake)"
	host_list="127.0.0.1:$(port_of platform host-list)"
	weight_store="127.0.0.1:$(port_of platform weight-store)"
}

# Sets the failure domains, services, endpoint placement and weight lines of a deployment. Argument: deployment name.
deployment_names() {
	case "$1" in
		parcela-viva)
			domains="gt-centro-a gt-centro-b gt-centro-c"; prefix=gt-centro
			model=modelo-huerto; model_places="a a b b c c"
			plain=cuotas-app; plain_places="a b c"; lines=cartas,avisos ;;
		vatuwaqa)
			domains="suva-a suva-b suva-c"; prefix=suva
			model=wording-servers; model_places="a a a b b b c c"
			plain=ledger-api; plain_places="a a b c"; lines=wording,grades ;;
		*) echo "unknown deployment \"$1\", allowed: parcela-viva, vatuwaqa" >&2; return 1 ;;
	esac
}

operator() { "$bin/bamboorelay" --settings "$work/operator.toml" "$@"; }

# Assigns free ports, writes the settings of all hosts, applies the configuration and starts the entry and control
# processes. Sets entries (a TOML list of HTTP addresses) and node_pids. Shortens the usage window to 2 s and its grace
# period to 1 s.
start_entries() {
	local token=scenario-operator ports i=0 k index domain http peer name domain_peers peers=""
	mapfile -t ports < <("$bin/bamboorelay-load" free-ports --count 18)
	cp "$home/config/$deployment/inventory.toml" "$work/inventory.toml"
	sed -e 's/^window = .*/window = "2s"/' -e 's/^grace = .*/grace = "1s"/' "$home/config/$deployment/rules.toml" \
		>"$work/rules.toml"
	entries=""; node_pids=""
	for domain in $domains; do
		for k in 1 2; do
			http="127.0.0.1:${ports[$i]}"; peer="127.0.0.1:${ports[$((i + 6))]}"
			awk -v host="$domain-entry-$k" -v http="$http" -v peer="$peer" '
				/^name = / { current = $3; gsub(/"/, "", current) }
				/^http_address = / && current == host { print "http_address = \"" http "\""; next }
				/^peer_address = / && current == host { print "peer_address = \"" peer "\""; next }
				{ print }' "$work/inventory.toml" >"$work/inventory.new" && mv "$work/inventory.new" "$work/inventory.toml"
			entries="$entries, \"$http\""; peers="$peers, \"$peer\""
			i=$((i + 1))
		done
	done
	entries="[${entries#, }]"; peers="[${peers#, }]"
	cat >"$work/operator.toml" <<END
object_api_address = "$store"
entry_addresses = $entries
operator_token = "$token"
END
	operator apply "$work/inventory.toml" "$work/rules.toml" || return 1
	i=0
	for domain in $domains; do
		domain_peers=""
		for k in 1 2; do
			index=$((i + k - 1))
			domain_peers="$domain_peers, \"127.0.0.1:${ports[$((index + 6))]}\""
		done
		for k in 1 2; do
			name="$domain-entry-$k"
			cat >"$work/$name.toml" <<END
deployment = "$deployment"
host = "$name"
failure_domain = "$domain"
http_address = "127.0.0.1:${ports[$i]}"
peer_address = "127.0.0.1:${ports[$((i + 6))]}"
object_api_address = "$store"
operator_token = "$token"
leave_delay = "500ms"
peer_addresses = $peers
END
			cat >"$work/$name-control.toml" <<END
deployment = "$deployment"
host = "$name"
failure_domain = "$domain"
http_address = "127.0.0.1:${ports[$((i + 12))]}"
object_api_address = "$store"
ordering_address = "$ordering"
usage_intake_address = "$intake"
host_list_address = "$host_list"
weight_store_rate = 20
entry_addresses = [${domain_peers#, }]
END
			start "$name" "$bin/bamboorelay-entry" --settings "$work/$name.toml"
			node_pids="$node_pids, \"$last_pid\""
			start "$name-control" "$bin/bamboorelay-control" --settings "$work/$name-control.toml"
			node_pids="$node_pids, \"$last_pid\""
			i=$((i + 1))
		done
	done
}
