package main

import "runtime/debug"

// arguments lists the subcommands; each has its own file.
type arguments struct {
	Serve *serveCommand `arg:"subcommand:serve" help:"run an entry host"`
	Check *checkCommand `arg:"subcommand:check" help:"validate declaration files"`
}

// Version returns the text of --version.
func (arguments) Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "sesamestand (development build)"
	}
	return "sesamestand " + info.Main.Version
}

// Description returns the first lines of --help.
func (arguments) Description() string {
	return "Rollout service for reinforcement learning: feeds trainers samples and serves callers from model engines."
}
