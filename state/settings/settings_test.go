package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// assertFaults checks that the text has exactly these faults, in this order.
func assertFaults(t *testing.T, text string, want ...string) {
	t.Helper()
	is := is.New(t)
	var faults Faults
	sections := Sections(Parse([]byte(text), MaximumFileBytes, &faults), &faults, "one", "two")
	f := sections["one"]
	f.Number("count", 1, 0, 10)
	f.Duration("wait", time.Second, 0, time.Minute)
	f.Flag("on")
	f.Choice("mode", "fast", "slow")
	f.List("names")
	if f.Text("address") != "" {
		f.Address("address")
	}
	if f.Text("link") != "" {
		f.URL("link")
	}
	f.CheckUnknown()
	sections["two"].CheckUnknown()
	is.Equal(strings.Split(faults.WithFile("x.ini").Error(), "\n"), append([]string{}, want...))
}

func TestFaults(t *testing.T) {
	t.Run("allInOnePass", func(t *testing.T) {
		assertFaults(t, "[one]\ncount = 11\nwait = 3\non = perhaps\nmode = odd\naddress = host:80\nlink = http://host/\ntypo = 1\n",
			`x.ini: one.count: 11 is not from 0 to 10`,
			`x.ini: one.wait: "3" is not a duration such as 30s`,
			`x.ini: one.on: "perhaps" is neither true nor false`,
			`x.ini: one.mode: "odd" is not one of fast, slow`,
			`x.ini: one.address: "host:80" is not an IP number with a port`,
			`x.ini: one.link: "http://host/" does not name its host by an IP number`,
			`x.ini: one.typo: is an unknown field`)
	})
	t.Run("duplicates", func(t *testing.T) {
		assertFaults(t, "[one]\ncount = 1\ncount = 2\n", `x.ini: one.count: stands twice`)
		assertFaults(t, "[one]\n[one]\n", `x.ini: one: is an unknown section or stands twice`)
	})
	t.Run("fieldBeforeSection", func(t *testing.T) {
		assertFaults(t, "stray = 1\n[two]\n", `x.ini: file.stray: stands before any section`)
	})
	t.Run("noFaults", func(t *testing.T) {
		assertFaults(t, "[one]\ncount = 3 ; a comment\nnames = a, b\n", "")
	})
}
