package main

import (
	"context"
	"os"

	"github.com/sesamestand/sesamestand/internal/capacity"
)

// benchCommand measures how costs grow with the load and extrapolates them.
type benchCommand struct{}

func (*benchCommand) run(context.Context) error {
	all, err := capacity.All()
	if err != nil {
		return err
	}
	capacity.Print(os.Stdout, all)
	return nil
}
