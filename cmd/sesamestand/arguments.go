package main

import "runtime/debug"

// arguments lists the subcommands; each has its own file.
type arguments struct {
	Serve      *serveCommand      `arg:"subcommand:serve" help:"run an entry host"`
	Publish    *publishCommand    `arg:"subcommand:publish" help:"publish declaration files through the log"`
	Check      *checkCommand      `arg:"subcommand:check" help:"validate declaration files"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show what an entry host knows"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"show the decisions taken for a request"`
	Demo       *demoCommand       `arg:"subcommand:demo" help:"run a whole system on loopback and check every promise"`
	Load       *loadCommand       `arg:"subcommand:load" help:"drive a running system with callers and trainers"`
	Experiment *experimentCommand `arg:"subcommand:experiment" help:"measure policies against each other under faults"`
	Plot       *plotCommand       `arg:"subcommand:plot" help:"draw idle share and staleness from the rows of an experiment"`
	Bench      *benchCommand      `arg:"subcommand:bench" help:"measure how costs grow and extrapolate to the size of the design"`
	Standin    *standinCommand    `arg:"subcommand:standin" help:"run a stand-in of an outside system"`
	Settings   *settingsCommand   `arg:"subcommand:settings" help:"print the settings reference or check a settings file"`
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

// Epilogue returns the last lines of --help.
func (arguments) Epilogue() string {
	return "Example: sesamestand demo\n\nExit codes: 0 success, 1 the command found a problem, 2 wrong command line."
}
