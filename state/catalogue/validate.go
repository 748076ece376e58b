package catalogue

import (
	"encoding/hex"
	"net/netip"
	"strings"
	"time"
)

// Validate returns all faults of the entry.
func (e *Entry) Validate() Faults {
	var faults Faults
	checkName(&faults, "entry", "name", e.Name)
	checkName(&faults, "entry", "owner", e.Owner)
	checkName(&faults, "entry", "class", e.Class)
	checkRange(&faults, "entry", "priority", e.Priority, maximumPriority)
	checkRange(&faults, "entry", "maximumTokens", e.MaximumTokens, maximumLimit)
	checkTimeout(&faults, "queueTimeout", e.QueueTimeout)
	checkTimeout(&faults, "answerTimeout", e.AnswerTimeout)
	checkLimits(&faults, "entry", e.Limits)
	checkNames(&faults, "workspaces", e.Workspaces, MaximumEntryWorkspaces)
	checkEndpoints(&faults, e.Endpoints)
	switch e.Kind {
	case KindEngine:
		e.validateEngine(&faults)
	case KindService:
		e.validateService(&faults)
	default:
		faults.Add("entry", "kind", "%q is neither engine nor service", e.Kind)
	}
	return faults
}

func (e *Entry) validateEngine(faults *Faults) {
	checkText(faults, "model", e.Model, true)
	checkText(faults, "version", e.Version, true)
	checkNames(faults, "adapters", e.Adapters, MaximumAdapters)
	checkRange(faults, "entry", "minimumReady", e.MinimumReady, MaximumEndpoints)
	if e.MinimumReady > len(e.Endpoints) {
		faults.Add("entry", "minimumReady", "%d is more than the %d endpoints", e.MinimumReady, len(e.Endpoints))
	}
	if e.KeyRule != "" {
		faults.Add("entry", "keyRule", "is for services only")
	}
}

func (e *Entry) validateService(faults *Faults) {
	switch e.KeyRule {
	case KeyRuleIdempotent, KeyRuleOptional, KeyRuleRequired:
	default:
		faults.Add("entry", "keyRule", "%q is none of idempotent, optional, required", e.KeyRule)
	}
	forbidden := []struct {
		field string
		set   bool
	}{
		{"model", e.Model != ""},
		{"version", e.Version != ""},
		{"adapters", len(e.Adapters) > 0},
		{"repeatable", e.Repeatable},
		{"checksFence", e.ChecksFence},
		{"minimumReady", e.MinimumReady != 0},
		{"maximumTokens", e.MaximumTokens != 0},
	}
	for _, f := range forbidden {
		if f.set {
			faults.Add("entry", f.field, "is for engines only")
		}
	}
}

// Validate returns all faults of the workspace.
func (w *Workspace) Validate() Faults {
	var faults Faults
	checkName(&faults, "workspace", "name", w.Name)
	checkName(&faults, "workspace", "owner", w.Owner)
	checkLimits(&faults, "workspace", w.Limits)
	if len(w.KeyHashes) == 0 || len(w.KeyHashes) > MaximumKeys {
		faults.Add("workspace", "keyHashes", "%d hashes; 1 to %d are allowed", len(w.KeyHashes), MaximumKeys)
	}
	seen := map[string]bool{}
	for _, h := range w.KeyHashes {
		raw, err := hex.DecodeString(h)
		if err != nil || len(raw) != keyHashBytes || hex.EncodeToString(raw) != h {
			faults.Add("workspace", "keyHashes", "%q is not a SHA-256 hash in 64 lower-case hex digits", truncate(h))
		}
		if seen[h] {
			faults.Add("workspace", "keyHashes", "%q stands twice", truncate(h))
		}
		seen[h] = true
	}
	return faults
}

func checkEndpoints(faults *Faults, endpoints []Endpoint) {
	if len(endpoints) > MaximumEndpoints {
		faults.Add("entry", "endpoints", "%d endpoints; at most %d are allowed", len(endpoints), MaximumEndpoints)
		return
	}
	seen := make(map[netip.AddrPort]bool, len(endpoints))
	for _, p := range endpoints {
		section := "endpoint " + p.Address.String()
		if !p.Address.IsValid() || p.Address.Port() == 0 || p.Address.Addr().IsUnspecified() {
			faults.Add(section, "address", "is not an IP number and port")
		}
		if seen[p.Address] {
			faults.Add(section, "address", "stands twice")
		}
		seen[p.Address] = true
		checkName(faults, section, "dataCentre", p.DataCentre)
		if p.Role != "" {
			checkName(faults, section, "role", p.Role)
		}
	}
}

func checkLimits(faults *Faults, section string, limits Limits) {
	checkRange(faults, section, "concurrency", limits.Concurrency, maximumLimit)
	checkRange(faults, section, "requestsPerSecond", limits.RequestsPerSecond, maximumLimit)
	checkRange(faults, section, "tokensPerSecond", limits.TokensPerSecond, maximumLimit)
}

func checkRange(faults *Faults, section, field string, value, maximum int) {
	if value < 0 || value > maximum {
		faults.Add(section, field, "%d is not from 0 to %d", value, maximum)
	}
}

func checkTimeout(faults *Faults, field string, timeout time.Duration) {
	if timeout < 0 || timeout > maximumTimeout {
		faults.Add("entry", field, "%s is not from 0s to %s", timeout, maximumTimeout)
	}
}

func checkNames(faults *Faults, field string, names []string, maximum int) {
	if len(names) > maximum {
		faults.Add("entry", field, "%d names; at most %d are allowed", len(names), maximum)
		return
	}
	seen := make(map[string]bool, len(names))
	for _, n := range names {
		checkName(faults, "entry", field, n)
		if seen[n] {
			faults.Add("entry", field, "%q stands twice", truncate(n))
		}
		seen[n] = true
	}
}

// checkName adds a fault unless the name is safe to use in a path, in a metric label and in a stream's name.
func checkName(faults *Faults, section, field, name string) {
	if name == "" {
		faults.Add(section, field, "is missing")
		return
	}
	if len(name) > maximumNameBytes || !containsOnly(name, "-_.") {
		faults.Add(section, field, "%q is not 1 to %d letters, digits, '-', '_' or '.'", truncate(name), maximumNameBytes)
	}
}

// checkText adds a fault unless the text is valid as a model's name or version, which may also contain '/', ':', '+' and '@'.
func checkText(faults *Faults, field, text string, required bool) {
	if text == "" {
		if required {
			faults.Add("entry", field, "is missing")
		}
		return
	}
	if len(text) > maximumVersionBytes || !containsOnly(text, "-_./:+@") {
		faults.Add("entry", field, "%q is not 1 to %d letters, digits or any of -_./:+@", truncate(text), maximumVersionBytes)
	}
}

// containsOnly reports whether the text consists of ASCII letters, digits and the other bytes given.
func containsOnly(text, others string) bool {
	for i := range len(text) {
		b := text[i]
		switch {
		case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		case strings.IndexByte(others, b) >= 0:
		default:
			return false
		}
	}
	return true
}
