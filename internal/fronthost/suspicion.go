package fronthost

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/suspect"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// contentSends counts the sends of requests with the same content that are under way on
// this host. Their number is bounded by that of the requests under way.
type contentSends struct {
	count   int
	changed chan struct{} // closed when a send ends or the suspicion is cleared
}

// claimContent waits until the request's content may be sent and counts a send of it.
// Suspected content is sent once at a time, because each send may crash another server.
// A hedge doesn't wait. It returns false if the request must not be sent.
func (f *forwarding) claimContent(ctx context.Context, hedge bool) bool {
	for {
		changed, verdict := f.tryClaim()
		switch {
		case changed == nil:
			return verdict != suspect.Refuse
		case hedge:
			return false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// tryClaim counts a send of the request's content, unless the content is refused or another
// send of it must end first. It then returns what to wait for.
func (f *forwarding) tryClaim() (<-chan struct{}, suspect.Verdict) {
	if f.fingerprint == "" {
		return nil, suspect.Run
	}
	h := f.host
	h.mu.Lock()
	defer h.mu.Unlock()
	verdict, sends := h.suspects.Verdict(f.fingerprint), h.contentSends[f.fingerprint]
	switch {
	case verdict == suspect.Refuse:
		return nil, verdict
	case verdict == suspect.RunIsolated && sends != nil:
		return sends.changed, verdict
	case sends == nil:
		sends = &contentSends{changed: make(chan struct{})}
		h.contentSends[f.fingerprint] = sends
	}
	sends.count++
	return nil, verdict
}

// releaseContent ends a send that claimContent counted.
func (f *forwarding) releaseContent() {
	h := f.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if sends := h.contentSends[f.fingerprint]; sends != nil {
		sends.count--
		if sends.count == 0 {
			delete(h.contentSends, f.fingerprint)
		}
		sends.notify()
	}
}

// notify wakes the requests that wait. The caller holds the host's mu.
func (c *contentSends) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// clearSuspicion clears the suspicion of the request's content after a server has
// answered the request.
func (f *forwarding) clearSuspicion() {
	h := f.host
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspects.Clear(f.fingerprint, time.Now())
	if sends := h.contentSends[f.fingerprint]; sends != nil {
		sends.notify()
	}
}

// crashRefusal returns a refusal if the request's content has crashed too many
// servers, and nil otherwise.
func (f *forwarding) crashRefusal() *Refusal {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	if !f.host.crashesServers(f.fingerprint) {
		return nil
	}
	return notRunRefusal(cluster.ReasonCrashInducing, "this request has crashed several backend servers")
}

// recordCrash records a suspicion of the request's content when its server broke the
// connection, and publishes it to the other hosts, because the caller may retry at
// any of them.
func (f *forwarding) recordCrash(a *attempt) {
	h := f.host
	h.recorder.RecordDecision("broken", f.request.ID, "server", a.server.ID, "err", a.err.Error())
	if f.fingerprint == "" {
		return
	}
	crash := fmt.Sprintf("%s-%d", a.server.ID, a.server.Incarnation)
	h.mu.Lock()
	changed := h.suspects.RecordCrash(f.fingerprint, crash, false, time.Now())
	h.mu.Unlock()
	if changed {
		a.published = h.publishSuspicion(f.fingerprint, crash)
	}
}

const (
	// publishSuspicionTimeout bounds one append of a suspicion.
	publishSuspicionTimeout = 2 * time.Second
	// publishSuspicionRetry is the interval after which a failed append is repeated.
	publishSuspicionRetry = 500 * time.Millisecond
	// awaitPublication is how long the answer to a caller waits for the append, so that
	// the hosts at which the caller may retry know of the crash.
	awaitPublication = 300 * time.Millisecond
)

// publishSuspicion publishes to the other hosts, in the background, that content with
// a fingerprint is suspected to have crashed a backend server. crash identifies the
// incarnation of that server. The returned channel is closed when the suspicion is stored,
// and after awaitPublication at the latest.
func (h *Host) publishSuspicion(fingerprint, crash string) <-chan struct{} {
	awaited, wake := context.WithTimeout(h.baseCtx, awaitPublication)
	go func() {
		defer wake()
		ctx, cancel := context.WithTimeout(h.baseCtx, suspect.Defaults().Lifetime)
		defer cancel()
		for h.appendSuspicion(ctx, fingerprint, crash) != nil && h.isSuspected(fingerprint) {
			select {
			case <-time.After(publishSuspicionRetry):
			case <-ctx.Done():
				return
			}
		}
	}()
	return awaited.Done()
}

// appendSuspicion is idempotent: the record's key names the crash.
func (h *Host) appendSuspicion(ctx context.Context, fingerprint, crash string) error {
	ctx, cancel := context.WithTimeout(ctx, publishSuspicionTimeout)
	defer cancel()
	err := h.appendAll(ctx, controlPartition, []logstore.Record{encodeSuspicion(fingerprint, crash)})
	if err != nil {
		klog.InfoS("suspicion not published to other hosts", "fingerprint", fingerprint, "err", err)
	}
	return err
}

func (h *Host) isSuspected(fingerprint string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.suspects.Verdict(fingerprint) != suspect.Run
}

func (f *forwarding) notePublication(a *attempt) {
	if a.published != nil {
		f.published = append(f.published, a.published)
	}
}

// awaitPublished waits until the crashes under the request are published.
func (f *forwarding) awaitPublished() {
	for _, published := range f.published {
		<-published
	}
}
