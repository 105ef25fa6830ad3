package main

import "runtime/debug"

// arguments lists the subcommands; each has its own file.
type arguments struct {
	Serve      *serveCommand      `arg:"subcommand:serve" help:"run an entry host"`
	Publish    *publishCommand    `arg:"subcommand:publish" help:"publish declaration files through the log"`
	Check      *checkCommand      `arg:"subcommand:check" help:"validate declaration files"`
	KeyHash    *keyHashCommand    `arg:"subcommand:key-hash" help:"print the hash of a workspace's key, read from standard input"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show the status of an entry host"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"show the decisions made for a request"`
	Demo       *demoCommand       `arg:"subcommand:demo" help:"run a complete system on loopback and check every promise"`
	Load       *loadCommand       `arg:"subcommand:load" help:"generate load from callers and trainers on a running system"`
	Experiment *experimentCommand `arg:"subcommand:experiment" help:"compare policies under faults"`
	Plot       *plotCommand       `arg:"subcommand:plot" help:"plot idle share and staleness from the rows of an experiment"`
	Bench      *benchCommand      `arg:"subcommand:bench" help:"measure how costs grow with the load and extrapolate to the target scale"`
	Standin    *standinCommand    `arg:"subcommand:standin" help:"run a stand-in for an external system"`
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
	return "Rollout service for reinforcement learning: delivers samples to trainers and serves callers from model engines."
}

// Epilogue returns the last lines of --help.
func (arguments) Epilogue() string {
	return "Example: sesamestand demo\n\nExit codes: 0 success, 1 the command found a problem, 2 wrong command line."
}
