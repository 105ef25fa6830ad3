package main

import (
	"context"

	"github.com/sesamestand/sesamestand/internal/entry"
	"github.com/sesamestand/sesamestand/internal/settings"
)

// serveCommand runs an entry host until it is told to stop.
type serveCommand struct {
	Settings string `arg:"--settings,required" help:"settings file (INI)" placeholder:"FILE.ini"`
}

func (c *serveCommand) run(ctx context.Context) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	host, err := entry.New(s)
	if err != nil {
		return err
	}
	return host.Run(ctx)
}
