package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"dogwooddyke/instance/hosted"
	"dogwooddyke/internal/lines"
	"dogwooddyke/platform"
)

// runHosted runs an instance on the users' platform; the settings file is the given one, or the one that the platform names.
func runHosted(o *options) int {
	file := o.Settings
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadInput
	}
	if o.CheckSettings {
		fmt.Println(file + ": no faults")
		return exitDone
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	output := lines.New(os.Stdout)
	logger := slog.New(slog.NewJSONHandler(output, nil)).With("instance", settings.Name)
	running := hosted.New(settings, logger)
	running.SetLines(output)
	defer writeLast(output, running)
	if err := running.Start(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "dogwooddyke:", err)
		return exitFailed
	}
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		reloadHosted(file, settings, logger)
	}
	running.Drain()
	running.Close()
	return exitDone
}

// writeLast has the lines that are still queued written, as far as the time until the platform ends the process allows: their reader may have stalled.
func writeLast(output *lines.Writer, stopped *hosted.Instance) {
	ctx, cancel := context.WithDeadline(context.Background(), stopped.ExitTime())
	defer cancel()
	_ = output.Close(ctx) // there is nowhere left to tell that lines were not read
}

// reloadHosted checks the settings again. All that they hold is fixed for a process's life: a change is told, and is in force from
// the next start on.
func reloadHosted(file string, present *platform.Settings, logger *slog.Logger) {
	settings, err := platform.LoadSettings(file)
	if err != nil {
		logger.Error("settings not reloaded", "error", err.Error())
		return
	}
	logger.Info("settings read again", "changed", *settings != *present)
}
