//go:build review

// Command review-standin-2 plays the cases of the second review: it starts the hosts with
// the command of the deploy file, stands in for the platform's store, the servers and the
// clients, and judges what they saw. It exits with 1 if a rule was broken, 0 if it held and
// 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns the breaks of the rule that it saw.
var cases = map[string]func(ctx context.Context, w *world) (breaks []string, err error){
	"refusal-copy":    refusalCopy,
	"stale-runner":    staleRunner,
	"refused-content": refusedContent,
	"silent-crash":    silentCrash,
	"broken-off":      brokenOff,
	"long-ids":        longIDs,
	"full-store":      fullStore,
	"failed-503":      failed503,
}

// timeLimit ends a case that does not end by itself.
const timeLimit = 115 * time.Second

func main() {
	if len(os.Args) == 4 && os.Args[1] == "item-process" {
		os.Exit(itemProcess(os.Args[2], os.Args[3]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(context.Context, *world) ([]string, error), folder string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	record, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	w, err := newWorld(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	breaks, err := run(ctx, w)
	switch {
	case err != nil:
		record.notef("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	case len(breaks) > 0:
		for _, b := range breaks {
			record.notef("broken: %s", b)
			fmt.Println("broken:", b)
		}
		return 1
	}
	record.notef("held")
	fmt.Println("held")
	return 0
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
