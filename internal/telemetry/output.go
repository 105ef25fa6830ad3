package telemetry

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// maxQueuedLines is the number of log lines buffered for a slow target before
// further lines are dropped. It covers several seconds of a busy host's output.
const maxQueuedLines = 4096

// asyncWriter writes log lines to its target in the background. Write never blocks.
type asyncWriter struct {
	queue   chan entry
	dropped atomic.Int64
	target  io.Writer
}

// entry is a log line, or a channel to close once all lines before it were written.
type entry struct {
	line    []byte
	written chan<- struct{}
}

// SetLogOutput directs the process's log lines to target without ever blocking on
// it. Lines that do not fit into the buffer are dropped, and their number is
// written with the next lines. A process must call flush before it ends, because lines
// in the buffer are lost with it. flush waits until the lines logged so far were written,
// at most for the timeout, and reports whether they were.
func SetLogOutput(target io.Writer) (flush func(timeout time.Duration) bool, err error) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return nil, eris.Wrapf(err, "set klog flag %s", name)
		}
	}
	o := newAsyncWriter(target)
	klog.SetOutput(o)
	return o.flush, nil
}

func newAsyncWriter(target io.Writer) *asyncWriter {
	o := &asyncWriter{queue: make(chan entry, maxQueuedLines), target: target}
	go o.run()
	return o
}

// Write implements io.Writer.
func (o *asyncWriter) Write(line []byte) (int, error) {
	select {
	case o.queue <- entry{line: bytes.Clone(line)}:
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

func (o *asyncWriter) flush(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	written := make(chan struct{})
	select {
	case o.queue <- entry{written: written}:
	case <-timer.C:
		return false
	}
	select {
	case <-written:
		return true
	case <-timer.C:
		return false
	}
}

// maxBatchBytes is the size above which no further lines are added to one write.
const maxBatchBytes = 32 << 10

func (o *asyncWriter) run() {
	var batch []byte
	var marks []chan<- struct{}
	for next := range o.queue {
		batch, marks = batch[:0], marks[:0]
		for more := true; more; {
			batch = append(batch, next.line...)
			if next.written != nil {
				marks = append(marks, next.written)
			}
			if len(batch) >= maxBatchBytes {
				break
			}
			select {
			case next = <-o.queue:
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
		for _, written := range marks {
			close(written)
		}
	}
}
