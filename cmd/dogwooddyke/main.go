// Command dogwooddyke runs one instance.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"dogwooddyke/instance"
)

// Exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitBadInput = 2
)

type options struct {
	Settings      string `long:"settings" value-name:"FILE" description:"INI file with the instance's settings; docs/examples/instance-lulea-a.ini shows all of them"`
	Hosted        bool   `long:"hosted" description:"run on the users' platform, with the settings file that it names"`
	CheckSettings bool   `long:"checkSettings" description:"only check the settings: list every fault and exit with 2, or with 0 if there are none"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	var o options
	parser := flags.NewNamedParser("dogwooddyke", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Runs one instance between callers and endpoints. SIGTERM drains it: new work is refused, " +
		"requests in progress finish, then it exits with 0. SIGHUP reads certificates and keys again."
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(os.Stderr, "dogwooddyke:", err)
		return exitFailed
	}
	if _, err := parser.ParseArgs(arguments); err != nil {
		return refuse(err)
	}
	if o.Hosted {
		return runHosted(&o)
	}
	if o.Settings == "" {
		return refuse(errors.New("the option --settings is required"))
	}
	settings, err := instance.LoadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadInput
	}
	if o.CheckSettings {
		fmt.Println(o.Settings + ": no faults")
		return exitDone
	}
	if err := serve(settings, o.Settings); err != nil {
		fmt.Fprintln(os.Stderr, "dogwooddyke:", err)
		return exitFailed
	}
	return exitDone
}

func refuse(err error) int {
	if help, ok := errors.AsType[*flags.Error](err); ok && help.Type == flags.ErrHelp {
		fmt.Println(help.Message)
		return exitDone
	}
	fmt.Fprintln(os.Stderr, "dogwooddyke:", err)
	return exitBadInput
}

// serve runs the instance until a SIGTERM or SIGINT has drained it.
func serve(settings *instance.Settings, file string) error {
	logger := slog.New(settings.LogHandler(os.Stderr))
	listeners, err := instance.Listen(settings)
	if err != nil {
		return err
	}
	running, err := instance.New(settings, listeners, logger)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	running.Start(context.Background())
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		reload(running, file, logger)
	}
	// Further signals are ignored: a planned stop cuts off no request.
	if err := running.Drain(context.Background()); err != nil {
		return err
	}
	running.Close()
	return nil
}

// reload takes new keys and certificates; settings with faults change nothing.
func reload(running *instance.Instance, file string, logger *slog.Logger) {
	settings, err := instance.LoadSettings(file)
	if err != nil {
		logger.Error("settings not reloaded", "error", err)
		return
	}
	running.Reload(settings)
	logger.Info("keys and certificates reloaded")
}
