package main

import (
	"context"
	"os"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/plots"
)

// plotCommand plots the rows written by 'experiment --json'.
type plotCommand struct {
	Rows string `arg:"positional,required" help:"file of rows written by 'experiment --json'" placeholder:"ROWS.json"`
	Out  string `arg:"positional,required" help:"image file to write, .png or .svg" placeholder:"PICTURE"`
}

func (c *plotCommand) run(context.Context) error {
	file, err := os.Open(c.Rows)
	if err != nil {
		return eris.Wrap(err, "open the rows")
	}
	defer func() { _ = file.Close() }()
	rows, err := plots.Read(file)
	if err != nil {
		return err
	}
	return plots.WriteFile(c.Out, rows)
}
