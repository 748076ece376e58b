package capacity

import (
	"io"
	"log/slog"
)

// quiet returns a logger that drops everything.
func quiet() *slog.Logger {
	return slog.New(slog.NewTextHandler(io.Discard, nil))
}
