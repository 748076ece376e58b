package instance

import (
	"crypto/ed25519"
	"encoding/base64"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"time"

	"dogwooddyke/state/settings"
)

// Settings is one instance's settings, read and checked whole.
type Settings struct {
	DataCentre string
	Callers    netip.AddrPort // listener of callers
	Operators  netip.AddrPort // listener of operators and metrics
	Peers      netip.AddrPort // listener of other instances, by which the instance is known

	Notice time.Duration // from the first sign of a drain until new work is refused

	MaximumBodyBytes int
	MaximumStreams   int // requests in progress on this instance
	Explanations     int // decisions kept for /explain

	CallerFiles Files
	PeerFiles   Files
	PeerKeys    [][]byte // the first one proves, each one is accepted
	TokenKeys   [][]byte // the first one signs resume tokens, each one is accepted

	Log    string
	Roster string

	Grace        time.Duration // how long a generation goes on after its caller has left
	ResumeWindow time.Duration // how long a resume token is valid

	ClaimPartitions int
	ClaimAppends    int           // records of claims per second, of the whole fleet
	ClaimWindow     time.Duration // how long an idempotency key is honoured

	PullsPerSecond float64 // of the weight store, by the whole fleet

	Subset int // endpoints of an entry that this instance works with

	OperatorKeys       map[string]ed25519.PublicKey // by operator; none: changes need no signature
	FormerOperatorKeys map[string]ed25519.PublicKey // accepted as well during a rotation
	SnapshotInterval   time.Duration                // between two snapshots of the catalogue in the log

	LogFormat string
	LogLevel  slog.Level
}

// Files names a certificate, its private key and the authority that signs the other side's, in PEM; empty: no TLS.
type Files struct {
	Certificate string
	PrivateKey  string
	Authority   string
}

// LoadSettings reads and checks a settings file; the error is of type settings.Faults and lists every fault.
func LoadSettings(name string) (*Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, settings.Faults{{File: name, Section: "file", Reason: err.Error()}}
	}
	return ParseSettings(name, data)
}

// ParseSettings checks the text of a settings file; the error is of type settings.Faults and lists every fault.
func ParseSettings(name string, data []byte) (*Settings, error) {
	var faults settings.Faults
	file := settings.Parse(data, settings.MaximumFileBytes, &faults)
	sections := settings.Sections(file, &faults, "instance", "callers", "peers", "platform", "answers", "claims", "routing", "catalogue", "logging")
	s := &Settings{}
	s.readInstance(sections["instance"])
	s.readCallers(sections["callers"])
	s.readPeers(sections["peers"])
	s.readPlatform(sections["platform"])
	s.readAnswers(sections["answers"])
	s.readClaims(sections["claims"])
	s.readRouting(sections["routing"])
	s.readCatalogue(sections["catalogue"])
	s.readLogging(sections["logging"])
	if len(faults) > 0 {
		return nil, faults.WithFile(name)
	}
	return s, nil
}

func (s *Settings) readInstance(f *settings.Fields) {
	defer f.CheckUnknown()
	s.DataCentre = f.Required("dataCentre")
	s.Callers = f.Address("callers")
	s.Operators = f.Address("operators")
	s.Peers = f.Address("peers")
	s.Notice = f.Duration("notice", defaultNotice, 0, 10*time.Minute)
	for _, a := range []netip.AddrPort{s.Callers, s.Operators, s.Peers} {
		if a.IsValid() && a.Addr().IsUnspecified() {
			f.Fault("peers", "%s is no address that others can reach", a)
		}
	}
}

func (s *Settings) readCallers(f *settings.Fields) {
	defer f.CheckUnknown()
	s.MaximumBodyBytes = f.Number("maximumBodyBytes", defaultMaximumBodyBytes, 1<<10, 64<<20)
	s.MaximumStreams = f.Number("maximumStreams", defaultMaximumStreams, 1, 1_000_000)
	s.CallerFiles = readFiles(f, false)
}

func (s *Settings) readPeers(f *settings.Fields) {
	defer f.CheckUnknown()
	s.PeerKeys = readKeys(f)
	s.PeerFiles = readFiles(f, true)
}

func (s *Settings) readPlatform(f *settings.Fields) {
	defer f.CheckUnknown()
	s.Log = f.URL("log")
	s.Roster = f.URL("roster")
	pulls := f.Number("pullsPerMinute", defaultPullsPerMinute, 1, 100_000)
	s.PullsPerSecond = float64(pulls) / 60
}

func (s *Settings) readAnswers(f *settings.Fields) {
	defer f.CheckUnknown()
	s.TokenKeys = readKeys(f)
	s.Grace = f.Duration("grace", defaultGrace, 0, 10*time.Minute)
	s.ResumeWindow = f.Duration("resumeWindow", defaultResumeWindow, time.Second, 24*time.Hour)
	s.Explanations = f.Number("explanations", defaultExplanations, 16, 1<<20)
}

func (s *Settings) readClaims(f *settings.Fields) {
	defer f.CheckUnknown()
	s.ClaimPartitions = f.Number("partitions", defaultClaimPartitions, 1, 4096)
	s.ClaimAppends = f.Number("appendsPerSecond", defaultClaimAppends, 1, 100_000)
	s.ClaimWindow = f.Duration("window", defaultClaimWindow, time.Minute, 30*24*time.Hour)
}

func (s *Settings) readRouting(f *settings.Fields) {
	defer f.CheckUnknown()
	s.Subset = f.Number("subset", defaultSubset, 2, 1024)
}

func (s *Settings) readCatalogue(f *settings.Fields) {
	defer f.CheckUnknown()
	s.OperatorKeys = readOperatorKeys(f, "operatorKeys")
	s.FormerOperatorKeys = readOperatorKeys(f, "formerOperatorKeys")
	s.SnapshotInterval = f.Duration("snapshotInterval", defaultSnapshotInterval, time.Second, 7*24*time.Hour)
}

// readOperatorKeys reads operator:KEY items.
func readOperatorKeys(f *settings.Fields, field string) map[string]ed25519.PublicKey {
	keys := make(map[string]ed25519.PublicKey)
	for _, item := range f.List(field) {
		operator, text, ok := strings.Cut(item, ":")
		key, err := base64.StdEncoding.DecodeString(text)
		if !ok || operator == "" || err != nil || len(key) != ed25519.PublicKeySize {
			f.Fault(field, "%q is not operator:KEY with a base64 Ed25519 public key", settings.Clip(item))
			continue
		}
		keys[operator] = key
	}
	return keys
}

func (s *Settings) readLogging(f *settings.Fields) {
	defer f.CheckUnknown()
	s.LogFormat = f.Choice("format", "text", "json")
	level := f.Choice("level", "info", "debug", "warn", "error")
	if err := s.LogLevel.UnmarshalText([]byte(level)); err != nil {
		f.Fault("level", "%s", err)
	}
}

// LogHandler returns the handler of structured logs that the settings ask for.
func (s *Settings) LogHandler(w io.Writer) slog.Handler {
	options := &slog.HandlerOptions{Level: s.LogLevel}
	if s.LogFormat == "json" {
		return slog.NewJSONHandler(w, options)
	}
	return slog.NewTextHandler(w, options)
}

// readKeys reads key and previousKey, each as text or from a file.
func readKeys(f *settings.Fields) [][]byte {
	var keys [][]byte
	for _, n := range []string{"key", "previousKey"} {
		if key := readKey(f, n); key != nil {
			keys = append(keys, key)
		}
	}
	return keys
}

func readKey(f *settings.Fields, name string) []byte {
	text, path := f.Text(name), f.Text(name+"File")
	if text != "" && path != "" {
		f.Fault(name, "stands beside %sFile; give one", name)
	}
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fault(name+"File", "%s", err)
			return nil
		}
		text = strings.TrimSpace(string(data))
	}
	if text == "" {
		if name == "key" && path == "" {
			f.Fault(name, "is missing; give it or %sFile", name)
		}
		return nil
	}
	if len(text) < minimumKeyBytes {
		f.Fault(name, "is shorter than %d bytes", minimumKeyBytes)
	}
	return []byte(text)
}

func readFiles(f *settings.Fields, authority bool) Files {
	files := Files{Certificate: f.Text("certificate"), PrivateKey: f.Text("privateKey")}
	if authority {
		files.Authority = f.Text("authority")
	}
	if (files.Certificate == "") != (files.PrivateKey == "") {
		f.Fault("certificate", "certificate and privateKey go together")
	}
	if authority && (files.Certificate == "") != (files.Authority == "") {
		f.Fault("authority", "certificate and authority go together")
	}
	return files
}
