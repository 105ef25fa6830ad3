package member

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxLastSync bounds the number of entries in lastSync.
const maxLastSync = 4096

// syncInterval is the minimum time between two syncs of one data centre to one
// member, so that many hosts that join at once cannot use up the bandwidth.
const syncInterval = time.Second

// toggleDigest adds the row to the digest of its data centre, or removes it if
// it is included. Dead rows are excluded because hosts remove them at different
// times. Suspicions do not affect the digest because they end by themselves.
func (c *Core) toggleDigest(row Row) {
	if row.State == Dead {
		return
	}
	sum := xxhash.Sum64String(fmt.Sprintf("%s %s %d", row.ID, row.Addr, row.Incarnation))
	c.digests[row.DataCentre] ^= sum
}

func versionSum(model string, version int64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %d", model, version))
}

func (c *Core) digestList() []Digest {
	list := make([]Digest, 0, len(c.digests))
	for dc, sum := range c.digests {
		if sum != 0 {
			list = append(list, Digest{DataCentre: dc, Sum: sum})
		}
	}
	slices.SortFunc(list, func(a, b Digest) int { return cmpString(a.DataCentre, b.DataCentre) })
	return list
}

func cmpString(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// sendDigests sends the digests of this host to a random member of any data
// centre. Digests are not sent with probes, because most probes stay within the
// data centre: two data centres could then differ permanently.
func (c *Core) sendDigests(out *Output) {
	for _, target := range c.randomLive(1, "") {
		c.send(target.Addr, Message{Kind: Gossip, From: c.self.ID, To: target.ID, Digests: c.digestList()}, out)
	}
}

// compareDigests sends the rows of each data centre whose digest differs and
// requests the rows of the sender. This repairs lost updates.
func (c *Core) compareDigests(now time.Time, m Message, out *Output) {
	if len(m.Digests) == 0 {
		return
	}
	theirs := make(map[string]uint64, len(m.Digests))
	for _, d := range m.Digests {
		theirs[d.DataCentre] = d.Sum
	}
	for _, d := range c.digestList() {
		if theirs[d.DataCentre] != d.Sum {
			c.startSync(now, m.From, d.DataCentre, out)
		}
		delete(theirs, d.DataCentre)
	}
	for _, d := range m.Digests {
		if _, remaining := theirs[d.DataCentre]; remaining {
			c.startSync(now, m.From, d.DataCentre, out)
		}
	}
}

// digestDue reports whether to send digests now. Differences soon after a
// change are expected to resolve by gossip, so digests are delayed, but by no
// more than two intervals while changes continue.
func (c *Core) digestDue(now time.Time) bool {
	overdue := now.Sub(c.nextDigest)
	return overdue >= 2*c.times.digestInterval || overdue >= 0 && now.Sub(c.lastChange) > c.times.convergence
}

func (c *Core) startSync(now time.Time, to, dc string, out *Output) {
	if c.sendBudget <= 0 || now.Sub(c.lastSync[to+"/"+dc]) < syncInterval {
		return
	}
	if len(c.lastSync) > maxLastSync {
		clear(c.lastSync)
	}
	c.lastSync[to+"/"+dc] = now
	c.sendRows(to, dc, true, out)
}

// sendRows sends all rows of a data centre, or all versions if dc is empty, in
// as many packets as needed. Only the last packet requests rows in return.
func (c *Core) sendRows(to, dc string, wantRows bool, out *Output) {
	target := c.members.Get(to)
	if target == nil {
		return
	}
	message := Message{Kind: Sync, From: c.self.ID, To: to, SyncDataCentre: dc}
	base := Size(message)
	size := base
	flush := func() {
		c.send(target.Addr, message, out)
		message.Updates, message.Versions = nil, nil
		size = base
	}
	for _, row := range c.rowsOf(dc) {
		if size+rowSize(row) > MaxPacketBytes-rowSize(target.Row) {
			flush()
		}
		message.Updates = append(message.Updates, row)
		size += rowSize(row)
	}
	if dc == "" {
		c.versions.Each(func(model string, version *int64) bool {
			v := ModelVersion{Model: model, Version: *version}
			if size+versionSize(v) > MaxPacketBytes-rowSize(target.Row) {
				flush()
			}
			message.Versions = append(message.Versions, v)
			size += versionSize(v)
			return true
		})
	}
	message.WantRows = wantRows
	flush()
}

func (c *Core) rowsOf(dc string) []Row {
	var rows []Row
	if c.self.DataCentre == dc {
		rows = append(rows, c.self)
	}
	c.members.Each(func(_ string, e *entry) bool {
		if e.DataCentre == dc {
			rows = append(rows, e.Row)
		}
		return true
	})
	return rows
}
