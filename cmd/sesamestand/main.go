// Command sesamestand is a rollout service for reinforcement learning.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// Exit codes that scripts can rely on.
const (
	exitOK      = 0
	exitFailure = 1 // the command ran and found a problem
	exitUsage   = 2 // the command line is wrong
)

// command is one subcommand. An error from run ends the process with
// exitFailure.
type command interface {
	run(ctx context.Context) error
}

func main() {
	os.Exit(realMain())
}

func realMain() int {
	var args arguments
	parser, err := arg.NewParser(arg.Config{Program: "sesamestand"}, &args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	switch err := parser.Parse(os.Args[1:]); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(os.Stdout, parser.SubcommandNames()...)
		return exitOK
	case errors.Is(err, arg.ErrVersion):
		fmt.Println(args.Version())
		return exitOK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(os.Stderr, parser.SubcommandNames()...)
		fmt.Fprintln(os.Stderr, "error:", err)
		return exitUsage
	}
	selected, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteHelp(os.Stderr)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := selected.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}
