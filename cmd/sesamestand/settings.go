package main

import (
	"context"
	"fmt"

	"github.com/sesamestand/sesamestand/internal/settings"
)

// settingsCommand prints the settings reference, or checks a settings file.
type settingsCommand struct {
	Check string `arg:"--check" help:"check this settings file instead of printing the reference" placeholder:"FILE.ini"`
}

func (c *settingsCommand) run(context.Context) error {
	if c.Check == "" {
		fmt.Print(settings.Reference())
		return nil
	}
	if _, err := settings.Load(c.Check); err != nil {
		return err
	}
	fmt.Println("no findings")
	return nil
}
