package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/core/workspace"
)

// keyHashCommand prints the hash of a key for the declaration of a workspace. The key is
// read from standard input, because arguments are visible to other users of the machine.
type keyHashCommand struct{}

func (c *keyHashCommand) run(context.Context) error {
	line, err := bufio.NewReader(io.LimitReader(os.Stdin, 2*workspace.MaxKeyBytes)).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return eris.Wrap(err, "read the key")
	}
	key := strings.TrimRight(line, "\r\n")
	if err := workspace.CheckKey(key); err != nil {
		return err
	}
	fmt.Println(workspace.HashKey(key))
	return nil
}
