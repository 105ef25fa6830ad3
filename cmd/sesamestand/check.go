package main

import (
	"context"
	"fmt"

	"github.com/sesamestand/sesamestand/internal/declare"
)

// checkCommand validates declaration files without publishing them.
type checkCommand struct {
	Dir string `arg:"positional,required" help:"directory with declaration files (*.ini)" placeholder:"DIR"`
}

func (c *checkCommand) run(context.Context) error {
	set, files, findings := declare.ParseDir(c.Dir)
	if err := findings.Err(); err != nil {
		return err
	}
	fmt.Printf("%d files: %d models, %d trainers, %d services, %d needs",
		len(files), len(set.Models), len(set.Trainers), len(set.Services), len(set.Needs))
	if set.Workspaces.Enabled() {
		fmt.Printf(", %d workspaces", set.Workspaces.Len())
	}
	fmt.Println()
	return nil
}
