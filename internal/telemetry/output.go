package telemetry

import (
	"flag"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// outputLines is the number of log lines that wait for a slow reader before
// further ones are dropped: some seconds of a busy host.
const outputLines = 4096

// output writes log lines in the background and never blocks a writer.
type output struct {
	lines   chan []byte
	dropped atomic.Int64
	target  io.Writer
}

// SetLogOutput sends the process's log lines to a writer, without ever waiting for it.
// Lines that find no room are counted, and the count is written in their place.
func SetLogOutput(target io.Writer) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return eris.Wrapf(err, "set the log's %s", name)
		}
	}
	o := &output{lines: make(chan []byte, outputLines), target: target}
	go o.run()
	klog.SetOutput(o)
	return nil
}

// Write implements io.Writer.
func (o *output) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case o.lines <- copied:
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// batchBytes bounds what is written in one call.
const batchBytes = 32 << 10

func (o *output) run() {
	var batch []byte
	for line := range o.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < batchBytes; {
			select {
			case next := <-o.lines:
				batch = append(batch, next...)
			default:
				more = false
			}
		}
		if n := o.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "log lines dropped: %d\n", n)
		}
		if _, err := o.target.Write(batch); err != nil {
			o.dropped.Add(1)
		}
	}
}
