package integration

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/examples"
	"github.com/sesamestand/sesamestand/internal/configs"
	"github.com/sesamestand/sesamestand/internal/knownred"
	"github.com/sesamestand/sesamestand/internal/settings"
	"github.com/sesamestand/sesamestand/internal/standin/untrusted"
	"github.com/sesamestand/sesamestand/internal/testbed"
)

// The hosts of the tests with untrusted clients. Their limits are lower than those of the
// smallest hosts, so that a small crowd exceeds them.
const (
	smallMemoryMB    = 128
	smallDescriptors = 512
	// ownDescriptors are those that a host needs beside its clients' connections.
	ownDescriptors = 64
	smallHeadBytes = 16 << 10
	smallBodyBytes = 8 << 20
)

// Sizes of the crowds.
const (
	crowdHeads  = 600
	crowdLong   = 48
	crowdBodies = 64
	crowdPeers  = 48
	// Clients that do not read responses, the requests of each, and the size of a response.
	crowdUnread   = 96
	crowdRequests = 12
	unreadBytes   = 1_000_000
	crowdReceived = 200 // clients whose bodies the host does not read at once
)

// settleTime is how long a check waits for what a host does for clients that do not read.
const settleTime = 5 * time.Second

// startSmallSystem starts an example system whose hosts have little memory and few
// descriptors, and waits until an ordinary request is answered.
func startSmallSystem(t *testing.T) *system {
	t.Helper()
	files, err := examples.Files("lin")
	must.NoError(t, err)
	dir := t.TempDir()
	program := filepath.Join(dir, "host")
	must.NoError(t, untrusted.LimitDescriptors(binary, program, smallDescriptors))
	bed, err := testbed.Start(t.Context(), testbed.Options{
		Files: files, HostsPerDataCentre: 1, Seed: 1, Starter: testbed.Executable(program, dir),
		Adjust: func(s *settings.Settings) {
			s.Auth.CallerTokens = nil
			s.Limits.MemoryMB, s.Limits.BodyBytes = smallMemoryMB, smallBodyBytes
		},
	})
	must.NoError(t, err)
	t.Cleanup(bed.Close)
	s := &system{Testbed: bed, files: files}
	_, err = configs.Publish(t.Context(), s.log(), files)
	must.NoError(t, err)
	s.waitReady(t)
	requireAnswer(t, s.Entries[0].Settings.Host.HTTPAddr)
	return s
}

// requireAnswer sends an ordinary request until it is answered. A caller that is refused
// sends again.
func requireAnswer(t *testing.T, addr string) {
	t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(100 * time.Millisecond) {
		err := callService(client, addr)
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("ordinary request is not answered: %v", err)
		}
	}
}

func callService(client *http.Client, addr string) error {
	response, err := client.Get("http://" + addr + "/v1/services/orders/trays")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// requireWithinLimits checks the process that was started.
func requireWithinLimits(t *testing.T, process testbed.Process) {
	t.Helper()
	child := process.(interface{ Pid() int })
	usage, err := untrusted.UsageOf(child.Pid())
	must.NoError(t, err, must.Sprint("the host has ended"))
	t.Logf("peak of the memory %d MB, %d descriptors open", usage.PeakBytes>>20, usage.Descriptors)
	if usage.PeakBytes > smallMemoryMB<<20 {
		t.Errorf("peak of the memory is %d MB, the host has %d MB", usage.PeakBytes>>20, smallMemoryMB)
	}
	if usage.Descriptors > smallDescriptors-ownDescriptors {
		t.Errorf("%d descriptors are open, the host has %d and needs %d of them itself", usage.Descriptors, smallDescriptors, ownDescriptors)
	}
}

// Guards against a host that runs out of memory or descriptors, or no longer answers its
// callers, because of clients that send many heads, heads without end, empty lines without
// end, or many bodies that stop just short of their end.
func TestUntrustedClientsExhaustNoHost(t *testing.T) {
	attack := func(name string, send func(settings.Host, *untrusted.Crowd)) {
		t.Run(name, func(t *testing.T) {
			s, crowd := startSmallSystem(t), &untrusted.Crowd{}
			defer crowd.Close()
			host := s.Entries[0]
			send(host.Settings.Host, crowd)
			requireAnswer(t, host.Settings.Host.HTTPAddr)
			requireWithinLimits(t, host.Process)
		})
	}
	front := func(request string) func(settings.Host) untrusted.Target {
		return func(h settings.Host) untrusted.Target {
			return untrusted.Target{Addr: h.HTTPAddr, Request: request, Host: "host"}
		}
	}
	completions, service := front("POST /v1/completions"), front("POST /v1/services/orders/trays")
	for _, target := range []struct {
		name string
		of   func(settings.Host) untrusted.Target
	}{
		{"callers", service},
		{"readiness", front("POST /readyz")},
		{"metrics", front("POST /metrics")},
		{"peers", func(h settings.Host) untrusted.Target {
			return untrusted.Target{Addr: h.PeerAddr, Request: "POST /", Host: "host"}
		}},
	} {
		attack("short lines to "+target.name, func(h settings.Host, c *untrusted.Crowd) { c.ShortLines(crowdHeads, target.of(h), smallHeadBytes) })
		attack("long heads to "+target.name, func(h settings.Host, c *untrusted.Crowd) { c.LongHeads(crowdLong, target.of(h)) })
		attack("empty lines to "+target.name, func(h settings.Host, c *untrusted.Crowd) { c.EmptyLines(crowdLong, target.of(h)) })
	}
	attack("bodies to a service", func(h settings.Host, c *untrusted.Crowd) { c.Bodies(crowdBodies, service(h), smallBodyBytes) })
	attack("bodies of completions", func(h settings.Host, c *untrusted.Crowd) { c.Bodies(crowdBodies, completions(h), smallBodyBytes) })
	attack("responses that are not read", func(h settings.Host, c *untrusted.Crowd) {
		call := front("GET /v1/services/orders/trays")(h).WithBody("", strings.Repeat("x", unreadBytes))
		c.Exchange(1, 1, h.HTTPAddr, func(int, int) string { return call }) // the journal returns its body
		c.Unread(crowdUnread, crowdRequests, h.HTTPAddr, func(int, int) string {
			return front("GET /v1/services/orders/journal")(h).WithBody("", "")
		})
		time.Sleep(settleTime)
	})
	attack("streams with many fields to peers", func(h settings.Host, c *untrusted.Crowd) { c.PeerHeads(crowdPeers, h.PeerAddr, smallHeadBytes) })
	attack("streams with long heads to peers", func(h settings.Host, c *untrusted.Crowd) { c.PeerLongHeads(crowdPeers, h.PeerAddr) })
}

// Guards against bytes that a host has received and does not read, which count as memory of
// the process on some platforms.
func TestUnreadBytesFitIntoTheMemory(t *testing.T) {
	knownred.Skip(t)
	s, crowd := startSmallSystem(t), &untrusted.Crowd{}
	defer crowd.Close()
	host := s.Entries[0]
	addr, peak := host.Settings.Host.HTTPAddr, int64(0)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		crowd.Bodies(crowdReceived, untrusted.Target{Addr: addr, Request: "POST /v1/services/orders/trays", Host: "host"}, smallBodyBytes)
	}()
	for sending := true; sending; {
		select {
		case <-sent:
			sending = false
		case <-time.After(20 * time.Millisecond):
		}
		unread, err := untrusted.UnreadBytes(addr)
		must.NoError(t, err)
		usage, err := untrusted.UsageOf(host.Process.(interface{ Pid() int }).Pid())
		must.NoError(t, err, must.Sprint("the host has ended"))
		peak = max(peak, unread+usage.Bytes)
	}
	requireAnswer(t, addr)
	if peak > smallMemoryMB<<20 {
		t.Errorf("memory and unread bytes are %d MB at their peak, the host has %d MB", peak>>20, smallMemoryMB)
	}
}
