package member

import "time"

// MaxPacketBytes bounds an encoded and signed message. It stays below the
// smallest usual path MTU, so that packets are not fragmented.
const MaxPacketBytes = 1200

// State is the state of a member in a row. Higher values override lower ones
// of the same incarnation.
type State int

// States of a member.
const (
	Alive State = iota
	Suspect
	Dead
)

// Row is what is known of one member.
type Row struct {
	ID          string
	DataCentre  string
	Addr        string
	Incarnation int64
	State       State
	// Leaving is set by the member itself, under a new incarnation.
	Leaving bool
	// Reporter is the host whose probe failed, in the row of a suspect.
	Reporter string
}

// ModelVersion is the newest weight version of a model.
type ModelVersion struct {
	Model   string
	Version int64
}

// Digest sums up the rows of one data centre that are not dead. The digest of
// the weight versions has an empty data centre.
type Digest struct {
	DataCentre string
	Sum        uint64
}

// Kind is the kind of a message.
type Kind int

// Kinds of messages.
const (
	// Ping asks for an Ack with the same sequence number.
	Ping Kind = iota + 1
	// Ack answers a Ping or, through a helper, a PingRequest.
	Ack
	// PingRequest asks a helper to ping the subject.
	PingRequest
	// Gossip carries only updates.
	Gossip
	// Sync carries all rows of a data centre after its digests differed.
	Sync
)

// Message is one packet between members.
type Message struct {
	Kind Kind
	Seq  uint64
	// From is the sender; To is the wanted receiver, or empty for seeds.
	From, To string
	// Subject is the member to ping in a PingRequest and the member that
	// answered in an Ack.
	Subject     string
	SubjectAddr string
	Updates     []Row
	Versions    []ModelVersion
	Digests     []Digest
	// WantRows asks the receiver of a Sync to send its own rows of SyncOf, and
	// the receiver of an Ack for its own row.
	WantRows       bool
	SyncDataCentre string
}

// Send is a message with its destination.
type Send struct {
	Addr    string
	Message Message
}

// Change reports that the state of a member changed.
type Change struct {
	Row    Row
	Reason string
}

// Output holds what the caller does after a step.
type Output struct {
	Sends   []Send
	Changes []Change
}

// Config configures a Core. Zero durations get defaults from ProbeInterval.
type Config struct {
	Self  Row
	Seeds []string // addresses to contact at start
	// ProbeInterval is the time between two probes of members of the same
	// data centre.
	ProbeInterval time.Duration
	// BytesPerSecond bounds what is sent besides probes and their answers.
	BytesPerSecond int
	// RandomSeed makes the choices reproducible.
	RandomSeed uint64
}

const (
	// defaultProbeInterval is used when the configuration gives none.
	defaultProbeInterval = 500 * time.Millisecond
	// defaultBytesPerSecond leaves room for load summaries (4 KB/s) within
	// the 9 KB/s of control traffic of a host.
	defaultBytesPerSecond = 2500
	// burstSeconds lets a host send its whole table once when it is asked.
	burstSeconds = 10
	// indirectHelpers is the number of members asked to probe indirectly.
	indirectHelpers = 3
	// remoteProbers is the number of hosts of a data centre that probe a
	// given member of another data centre.
	remoteProbers = 2
	// gossipFanout is the number of members that get updates in one round.
	gossipFanout = 3
	// maxConfirmations is the number of further hosts whose suspicion
	// shortens the suspicion time to its minimum.
	maxConfirmations = 3
	// repeatedWeight is the weight of the newest probe in the share of probes
	// that needed repeated pings.
	repeatedWeight = 1.0 / 16
	// maxStretch bounds how much that share lengthens times.
	maxStretch = 3
	// forgetAfter is how long a dead member is kept. It is longer than the
	// hour for which regions are cut off from each other now and then.
	forgetAfter = 6 * time.Hour
)

// times are the durations derived from the probe interval.
type times struct {
	tick          time.Duration // between two gossip rounds
	directTimeout time.Duration // before indirect probes start
	probeTimeout  time.Duration // before suspicion
	suspicionMin  time.Duration
	suspicionMax  time.Duration
	remoteEvery   time.Duration
	deadEvery     time.Duration
	seedEvery     time.Duration
	digestEvery   time.Duration
	settle        time.Duration // for an update to reach all members
	pause         time.Duration // a gap between ticks that counts as a pause
}

func deriveTimes(interval time.Duration) times {
	return times{
		tick:          interval / 5,
		directTimeout: interval / 2,
		probeTimeout:  2 * interval,
		suspicionMin:  4 * interval,
		suspicionMax:  10 * interval,
		remoteEvery:   2 * interval,
		deadEvery:     10 * interval,
		seedEvery:     2 * interval,
		digestEvery:   4 * interval,
		settle:        2 * interval,
		pause:         2 * interval,
	}
}
