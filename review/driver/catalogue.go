package main

// tenant is one of the configuration's, with its keys.
type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

const (
	pathDigest  = "/digest/"
	pathCheck   = "/check/"
	pathPayout  = "/payout/"
	pathLedger  = "/ledger/"
	keyKept     = "kept00000000000000aa"
	keyRemoved  = "gone00000000000000bb"
	tenantOne   = "circle-one"
	requestPath = "9c"
)

// routeOf is a route of the configuration.
func routeOf(name, prefix, kind, service string, timeoutMS, targetMS, priority, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": targetMS, "priority": priority,
		"service": service, "max_attempts": attempts, "anonymous": false, "session_affinity": kind == "streaming", "stream_resumption": resumable, "target_gap_ms": 180,
	}
}

// configuration is a version of the operator's configuration, with the keys of its tenant and the service of the route for payouts.
func configuration(version int, payouts string, keys ...string) map[string]any {
	plain := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "connection_limit": 100, "protocol": "h1", "tls": false}
	}
	model := map[string]any{"name": serviceModel, "health_path": "/health", "connection_limit": 432, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 64, "kv_capacity_tokens": memoryTokens, "kv_bytes": tokenBytes, "link_mbps": linkBits / 1e6, "moves": true, "backups": true,
		"stride": tokensPerEvent, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
	}}
	return map[string]any{
		"version": version,
		"routes": []any{
			routeOf("digest", pathDigest, "streaming", serviceModel, 39000, 1800, 1, 1, false),
			routeOf("check", pathCheck, "streaming", serviceModel, 6000, 1500, 0, 2, true),
			routeOf("payout", pathPayout, "non_idempotent", payouts, 1500, 300, 2, 1, false),
			routeOf("ledger", pathLedger, "idempotent", serviceDesk, 1500, 300, 2, 2, false),
		},
		"services": []any{model, plain(serviceDesk), plain(serviceSecondary)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []tenant{{Name: tenantOne, Keys: keys, Priority: 1}},
	}
}
