package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/member"
)

// BenchmarkMembership measures the bytes that a host sends, including IP and
// UDP headers, the time until a failure is detected, and false positives. One
// host fails per run; versions of 28 models are announced every 2 min.
func BenchmarkMembership(b *testing.B) {
	for _, size := range []struct{ hosts, dataCentres int }{{11, 3}, {74, 2}, {592, 16}} {
		for _, loss := range []float64{0, 0.2} {
			b.Run(fmt.Sprintf("hosts=%d/centres=%d/loss=%v", size.hosts, size.dataCentres, loss), func(b *testing.B) {
				for b.Loop() {
					measure(b, size.hosts, size.dataCentres, loss)
				}
			})
		}
	}
}

func measure(b *testing.B, hosts, dataCentres int, loss float64) {
	const seed, warmUp, steady = 42, 30 * time.Second, 30 * time.Second
	n := newNetwork(seed, hosts, dataCentres)
	n.introduce()
	n.run(warmUp)
	n.loss = loss
	suspicions, falseDeaths := 0, 0
	victim := n.hosts[hosts-2]
	var failedAt time.Time
	var localWorst, worst time.Duration
	n.onChange = func(observer *simHost, c member.Change) {
		switch {
		case c.Row.State == member.Suspect && c.Reason == "probe failed":
			suspicions++
		case c.Row.State == member.Dead && (c.Row.ID != victim.id || failedAt.IsZero()):
			falseDeaths++
		case c.Row.State == member.Dead:
			worst = max(worst, n.now.Sub(failedAt))
			if observer.dc == victim.dc {
				localWorst = max(localWorst, n.now.Sub(failedAt))
			}
		}
	}
	for _, h := range n.hosts {
		h.sent = 0
	}
	for second := range int(steady / time.Second) {
		n.announce(second)
		n.run(time.Second)
	}
	total, most := 0, 0
	for _, h := range n.hosts {
		total, most = total+h.sent, max(most, h.sent)
	}
	b.ReportMetric(float64(total)/float64(hosts)/steady.Seconds(), "B/s/host")
	b.ReportMetric(float64(most)/steady.Seconds(), "B/s/busiest-host")
	b.ReportMetric(float64(suspicions)/steady.Minutes(), "suspicions/min")
	b.ReportMetric(float64(falseDeaths)/steady.Minutes(), "false-deaths/min")
	failedAt = n.now
	victim.up = false
	n.run(20 * time.Second)
	b.ReportMetric(localWorst.Seconds(), "s/last-local-detection")
	b.ReportMetric(worst.Seconds(), "s/last-detection")
	b.ReportMetric(0, "ns/op")
}

// introduce gives every host the whole table, as in a cluster that has been
// running for long. Otherwise the join of all hosts at once would be measured.
func (n *network) introduce() {
	rows := make([]member.Row, 0, len(n.hosts))
	for _, h := range n.hosts {
		rows = append(rows, h.core.Self())
	}
	for _, h := range n.hosts {
		h.core.Receive(n.now, member.Message{Kind: member.Sync, From: "table", To: h.id, Updates: rows}, "")
	}
}

// announce raises the versions that are due in the given second if 28 models
// get a new version every 2 min.
func (n *network) announce(second int) {
	const models, every = 28, 120
	for model := range models {
		if model*every/models == second%every {
			n.hosts[model%len(n.hosts)].core.AnnounceVersion(fmt.Sprintf("model-%02d", model), n.now.Unix())
		}
	}
}
