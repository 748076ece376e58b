package statement

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// MaximumRest bounds the rest that an endpoint may ask for.
const MaximumRest = 10 * time.Minute

// ParseRest reads the value of a Retry-After header in seconds, which may have a fraction; an empty value asks for no rest. A longer rest than
// MaximumRest is cut to that.
func ParseRest(value string) (time.Duration, error) {
	text := strings.TrimSpace(value)
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0) {
		return 0, fmt.Errorf("%.40q is not a number of seconds", text)
	}
	return time.Duration(min(seconds, MaximumRest.Seconds()) * float64(time.Second)), nil
}
