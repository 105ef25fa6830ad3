package main

import (
	"context"
	"errors"
)

// serveCommand runs an entry host until it is told to stop.
type serveCommand struct {
	Settings string `arg:"--settings,required" help:"settings file (INI)" placeholder:"FILE.ini"`
}

func (c *serveCommand) run(context.Context) error {
	return errors.New("serve is not available in this build")
}
