package telemetry

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// slowTarget is a target whose writes wait until the test releases them.
type slowTarget struct {
	release chan struct{}
	written bytes.Buffer
}

func (t *slowTarget) Write(p []byte) (int, error) {
	<-t.release
	return t.written.Write(p)
}

// Guards against last lines that are lost because the process ends before they are written.
func TestFlushWaitsForTheLinesBeforeIt(t *testing.T) {
	target := &slowTarget{release: make(chan struct{})}
	o := newAsyncWriter(target)
	for i := range 100 {
		_, err := fmt.Fprintf(o, "line %d\n", i)
		must.NoError(t, err)
	}
	must.False(t, o.flush(10*time.Millisecond))
	close(target.release)
	must.True(t, o.flush(10*time.Second))
	must.StrContains(t, target.written.String(), "line 99\n")
}

// Guards against a process that does not end because nothing reads its log.
func TestFlushOfAFullBufferIsBounded(t *testing.T) {
	o := newAsyncWriter(&slowTarget{release: make(chan struct{})})
	for range 2 * maxQueuedLines {
		_, err := o.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	must.False(t, o.flush(10*time.Millisecond))
}

type brokenTarget struct{}

func (brokenTarget) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// Guards against a wait at the end of a process whose log is closed.
func TestFlushToABrokenTargetEnds(t *testing.T) {
	o := newAsyncWriter(brokenTarget{})
	_, err := o.Write([]byte("line\n"))
	must.NoError(t, err)
	must.True(t, o.flush(10*time.Second))
}
