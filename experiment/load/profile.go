package load

import (
	"embed"
	"os"
	"time"
)

//go:embed profiles/*.ini
var builtIn embed.FS

// Shape says how arrivals bunch; lengths are means.
type Shape struct {
	BurstFactor float64 // rate within a burst over the rate outside
	BurstLength time.Duration
	CalmLength  time.Duration
}

// Profile describes the traffic of one deployment.
type Profile struct {
	Name       string
	Shape      Shape
	StallBound time.Duration // a longer wait between two tokens counts as stall beyond it
	Workspaces []Workspace
	Mixes      []Mix
}

// OpenProfile returns the built-in profile of that name, or reads the INI file of that path.
func OpenProfile(name string) (*Profile, error) {
	if data, err := builtIn.ReadFile("profiles/" + name + ".ini"); err == nil {
		return ParseProfile(name, data)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return ParseProfile(name, data)
}
