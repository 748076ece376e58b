package main

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/standin"
)

// published runs commands against a log of its own.
type published struct {
	t    *testing.T
	log  *standin.Log
	url  string
	dir  string
	time string
}

func newPublished(t *testing.T) *published {
	t.Helper()
	p := &published{t: t, log: standin.NewLog(standin.LogConfig{}), dir: t.TempDir(), time: "10"}
	at, err := p.log.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	p.url = "http://" + at.String()
	t.Cleanup(func() { _ = p.log.Close() })
	return p
}

// file writes a workspace's file.
func (p *published) file(owner string, concurrency int) string {
	p.t.Helper()
	const hash = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"
	text := fmt.Sprintf("[workspace]\nname = rescue\nowner = %s\nkeyHashes = %s\nconcurrency = %d\n", owner, hash, concurrency)
	name := filepath.Join(p.dir, fmt.Sprint(concurrency, ".ini"))
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return name
}

// exits runs the command and checks its exit code.
func (p *published) exits(code int, arguments ...string) {
	p.t.Helper()
	arguments = append(arguments, "--log", p.url, "--timeout", p.time)
	if got := run(arguments); got != code {
		p.t.Fatalf("%v exits with %d, want %d", arguments, got, code)
	}
}

func TestPublish(t *testing.T) {
	t.Run("acceptedAndReadBack", func(t *testing.T) {
		p := newPublished(t)
		p.exits(exitDone, "publish", p.file("islaget", 1))
		p.exits(exitDone, "publish", p.file("islaget", 1))
		p.exits(exitDone, "publish", p.file("islaget", 2))
		is.New(t).Equal(len(p.log.Records("catalogue")), 2)
		p.exits(exitDone, "get", "rescue", "--workspace")
		p.exits(exitFailed, "get", "rescue")
		p.exits(exitDone, "list")
		p.exits(exitDone, "history", "rescue")
		p.exits(exitDone, "publish", "--remove", "workspace/rescue", "--operator", "islaget")
		p.exits(exitFailed, "get", "rescue", "--workspace")
	})
	t.Run("badInput", func(t *testing.T) {
		p := newPublished(t)
		p.exits(exitBadInput, "publish", p.file("is laget", 1))
		p.exits(exitBadInput, "publish", filepath.Join(p.dir, "absent.ini"))
		p.exits(exitBadInput, "publish")
		p.exits(exitBadInput, "publish", "--remove", "rescue")
		p.exits(exitBadInput, "publish", "--key", p.file("islaget", 1), p.file("islaget", 1))
		is.New(t).Equal(len(p.log.Records("catalogue")), 0)
		p.exits(exitDone, "publish", p.file("islaget", 1))
		p.exits(exitBadInput, "publish", "--operator", "gyeongsan", p.file("islaget", 2))
	})
	t.Run("conflict", func(t *testing.T) {
		p := newPublished(t)
		p.exits(exitDone, "publish", p.file("islaget", 1))
		p.exits(exitDone, "publish", p.file("islaget", 2))
		p.exits(exitConflict, "publish", "--base", "1", p.file("islaget", 3))
	})
	t.Run("acknowledgementLost", func(t *testing.T) {
		p := newPublished(t)
		is := is.New(t)
		is.NoErr(p.log.Fault(standin.Fault{Kind: standin.FaultDropAnswer, Value: 1, Until: time.Now().Add(time.Minute)}))
		p.exits(exitDone, "publish", p.file("islaget", 1))
		p.exits(exitDone, "publish", p.file("islaget", 1))
		is.Equal(len(p.log.Records("catalogue")), 1)
	})
	t.Run("unknownInAnOutage", func(t *testing.T) {
		p := newPublished(t)
		is := is.New(t)
		p.time = "0.3"
		is.NoErr(p.log.Fault(standin.Fault{Kind: standin.FaultOutage, Until: time.Now().Add(time.Minute)}))
		p.exits(exitUnknown, "publish", p.file("islaget", 1))
	})
	t.Run("notShownInForce", func(t *testing.T) {
		p := newPublished(t)
		p.time = "0.3"
		p.exits(exitUnknown, "publish", "--instance", "http://127.0.0.1:1", p.file("islaget", 1))
	})
}
