package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sesamestand/sesamestand/internal/configs"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/settings"
)

// publishCommand makes the declaration files of a directory the active
// configuration.
type publishCommand struct {
	Dir      string        `arg:"positional,required" help:"directory with all declaration files (*.ini)" placeholder:"DIR"`
	Log      string        `arg:"--log" help:"address of the log service" placeholder:"IP:PORT"`
	Settings string        `arg:"--settings" help:"settings file with the log's address and token" placeholder:"FILE.ini"`
	Reset    bool          `arg:"--reset" help:"publish the files if the log no longer shows which version is active"`
	Timeout  time.Duration `arg:"--timeout" default:"30s" help:"longest time to wait until the files are accepted or rejected" placeholder:"DURATION"`
}

func (c *publishCommand) run(ctx context.Context) error {
	log, err := c.connect()
	if err != nil {
		return err
	}
	_, files, findings := declare.ParseDir(c.Dir)
	if err := findings.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	publish := configs.Publish
	if c.Reset {
		publish = configs.Reset
	}
	published, err := publish(ctx, log, files)
	switch {
	case err != nil:
		return err
	case published.Unchanged:
		fmt.Printf("version %d already holds these files\n", published.Version)
	default:
		fmt.Printf("accepted as version %d: %d files changed, %d removed\n", published.Version, published.Changed, published.Removed)
	}
	return nil
}

// connect returns a client of the log whose address is given on the command
// line or in the settings.
func (c *publishCommand) connect() (platform.Log, error) {
	var loaded settings.Settings
	if c.Settings != "" {
		var err error
		if loaded, err = settings.Load(c.Settings); err != nil {
			return nil, err
		}
	}
	addr := c.Log
	if addr == "" {
		addr = loaded.Platform.LogAddr
	}
	if addr == "" {
		return nil, errors.New("the log's address is missing: give --log or --settings")
	}
	return platform.NewHTTPLog(addr, loaded.Auth.PlatformToken), nil
}
