package main

import (
	"testing"

	"github.com/matryer/is"
)

func TestStandin(t *testing.T) {
	for name, arguments := range map[string][]string{
		"noKind":      {},
		"noAddress":   {"log"},
		"badAddress":  {"log", "--listen", "localhost:80"},
		"badSize":     {"engine", "--listen", "127.0.0.1:0", "--speed", "-1"},
		"badStore":    {"engine", "--listen", "127.0.0.1:0", "--weightStore", "x"},
		"unknownFlag": {"roster", "--listen", "127.0.0.1:0", "--speed", "1"},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(run(append([]string{"standin"}, arguments...)), exitBadInput)
		})
	}
	t.Run("help", func(t *testing.T) {
		is.New(t).Equal(run([]string{"standin", "engine", "--help"}), exitDone)
	})
}
