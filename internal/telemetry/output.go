package telemetry

import (
	"flag"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// maxQueuedLines is the number of log lines buffered for a slow target before
// further lines are dropped. It covers several seconds of a busy host's output.
const maxQueuedLines = 4096

// asyncWriter writes log lines to its target in the background. Write never blocks.
type asyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	target  io.Writer
}

// SetLogOutput directs the process's log lines to target without ever blocking on
// it. Lines that do not fit into the buffer are dropped, and their number is
// written with the next lines.
func SetLogOutput(target io.Writer) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return eris.Wrapf(err, "set klog flag %s", name)
		}
	}
	o := &asyncWriter{lines: make(chan []byte, maxQueuedLines), target: target}
	go o.run()
	klog.SetOutput(o)
	return nil
}

// Write implements io.Writer.
func (o *asyncWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case o.lines <- copied:
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// maxBatchBytes is the size above which no further lines are added to one write.
const maxBatchBytes = 32 << 10

func (o *asyncWriter) run() {
	var batch []byte
	for line := range o.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < maxBatchBytes; {
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
