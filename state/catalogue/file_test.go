package catalogue

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const examples = "../../docs/examples/catalogue"

func TestParseFile(t *testing.T) {
	t.Run("examples", func(t *testing.T) {
		is := is.New(t)
		names, err := filepath.Glob(examples + "/*.ini")
		is.NoErr(err)
		is.Equal(len(names), 3)
		for _, n := range names {
			data, err := os.ReadFile(n)
			is.NoErr(err)
			_, err = ParseFile(n, data)
			is.NoErr(err)
		}
	})
	faulty := []struct{ name, content, want string }{
		{"unknownField", "[entry]\nname = a\ncolour = red\n", "f.ini: entry.colour: is an unknown field"},
		{"unknownSection", "[entry]\n[other]\n", "f.ini: other: is an unknown section"},
		{"duplicateField", "[entry]\nname = a\nname = a\n", "f.ini: entry.name: stands twice"},
		{"duplicateEndpoint", "[entry]\n[endpoint 1.2.3.4:5]\ndataCentre=a\n[endpoint 1.2.3.4:5]\ndataCentre=a\n", "endpoint 1.2.3.4:5.address: stands twice"},
		{"hostName", "[entry]\n[endpoint host:5]\ndataCentre=a\n", `endpoint host:5.address: "host:5" is not an IP number and port`},
		{"badNumber", "[entry]\npriority = high\n", `entry.priority: "high" is not a whole number`},
		{"badFlag", "[entry]\nrepeatable = yes\n", `entry.repeatable: "yes" is neither`},
		{"badDuration", "[entry]\nqueueTimeout = 5\n", `entry.queueTimeout: "5" is not a duration`},
		{"missingField", "[entry]\nkind = engine\n", "entry.model: is missing"},
		{"engineFieldOfService", "[entry]\nkind = service\nkeyRule = required\nmodel = m\n", "entry.model: is for engines only"},
		{"entryAndWorkspace", "[entry]\n[workspace]\n", "exactly one section"},
		{"noSection", "", "exactly one section"},
		{"unhashedKey", "[workspace]\nname=a\nowner=b\nkeyHashes=secret\n", "is not a SHA-256 hash"},
		{"fieldBeforeSection", "name = a\n[entry]\n", "file.name: stands before any section"},
	}
	for _, f := range faulty {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseFile("f.ini", []byte(f.content))
			faults, ok := errors.AsType[Faults](err)
			is.True(ok)
			if !strings.Contains(faults.Error(), f.want) {
				t.Fatalf("missing %q in:\n%s", f.want, faults.Error())
			}
		})
	}
}

func FuzzParseFile(f *testing.F) {
	names, err := filepath.Glob(examples + "/*.ini")
	if err != nil {
		f.Fatal(err)
	}
	for _, n := range names {
		data, err := os.ReadFile(n)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := ParseFile("f.ini", data)
		if err != nil {
			return
		}
		text := ""
		if file.Entry != nil {
			text = FormatEntry(file.Entry)
		} else {
			text = FormatWorkspace(file.Workspace)
		}
		reparsed, err := ParseFile("f.ini", []byte(text))
		if err != nil {
			t.Fatalf("formatted file does not parse: %v\n%s", err, text)
		}
		if !reflect.DeepEqual(file, reparsed) {
			t.Fatalf("%v parses back as %v", file, reparsed)
		}
		change := &Change{ID: "a", Operator: "b", Entry: file.Entry, Workspace: file.Workspace}
		if faults := change.validate(); len(faults) > 0 {
			t.Fatalf("parsed file has faults: %v", faults)
		}
		encoded, err := Encode(Record{Change: change})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(encoded); err != nil {
			t.Fatalf("encoded change does not decode: %v", err)
		}
	})
}
