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

// Row is the state of one member as known to a host.
type Row struct {
	ID          string
	DataCentre  string
	Addr        string
	Incarnation int64
	State       State
	// Leaving is set by the member itself, under a new incarnation.
	Leaving bool
	// Reporter is the host whose probe failed. It is set for a suspect.
	Reporter string
}

// ModelVersion is the newest weight version of a model.
type ModelVersion struct {
	Model   string
	Version int64
}

// Digest summarizes the rows of one data centre that are not dead. The digest
// of the weight versions has an empty data centre.
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
	// Ack answers a Ping or, through another member, a PingRequest.
	Ack
	// PingRequest asks a member to ping the subject.
	PingRequest
	// Gossip carries only updates.
	Gossip
	// Sync carries all rows of a data centre whose digests differ.
	Sync
)

// Message is one packet between members.
type Message struct {
	Kind Kind
	Seq  uint64
	// From is the sender. To is the intended receiver, or empty for a seed
	// whose ID is unknown.
	From, To string
	// Subject is the member to ping in a PingRequest and the member that
	// answered in an Ack.
	Subject     string
	SubjectAddr string
	Updates     []Row
	Versions    []ModelVersion
	Digests     []Digest
	// WantRows asks the receiver of a Sync to send its own rows of
	// SyncDataCentre, and the receiver of an Ack to send its own row.
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

// Output holds the messages that the caller sends and the changes that it
// reports after a step.
type Output struct {
	Sends   []Send
	Changes []Change
}

// Config configures a Core. Zero values of ProbeInterval and BytesPerSecond
// select the defaults.
type Config struct {
	Self  Row
	Seeds []string // addresses to contact at start
	// ProbeInterval is the time between two probes of members of the same
	// data centre.
	ProbeInterval time.Duration
	// BytesPerSecond bounds the traffic other than probes and their acknowledgements.
	BytesPerSecond int
	// RandomSeed makes random choices reproducible.
	RandomSeed uint64
}

const (
	// defaultProbeInterval applies if the configuration sets no interval.
	defaultProbeInterval = 500 * time.Millisecond
	// defaultBytesPerSecond leaves room for load summaries (4 KB/s) within
	// the 9 KB/s of control traffic of a host.
	defaultBytesPerSecond = 2500
	// burstSeconds bounds the send budget. It lets a host send its whole table
	// at once on request.
	burstSeconds = 10
	// indirectHelpers is the number of members asked to probe indirectly.
	indirectHelpers = 3
	// remoteProbers is the number of hosts of a data centre that probe a
	// given member of another data centre.
	remoteProbers = 2
	// gossipFanout is the number of members that receive updates in one round.
	gossipFanout = 3
	// maxConfirmations is the number of further reporters that shortens the
	// suspicion timeout to its minimum.
	maxConfirmations = 3
	// retryShareWeight is the weight of the newest probe in the moving average
	// of the share of probes that needed retries.
	retryShareWeight = 1.0 / 16
	// maxTimeoutScale bounds how much that share lengthens timeouts.
	maxTimeoutScale = 3
	// deadRetention is how long a dead member is retained. It exceeds the
	// network partitions of about one hour that occasionally separate regions.
	deadRetention = 6 * time.Hour
)

// times holds the durations derived from the probe interval.
type times struct {
	tick           time.Duration // between two gossip rounds
	directTimeout  time.Duration // before the first retry and indirect probes
	probeTimeout   time.Duration // before the target is suspected
	suspicionMin   time.Duration
	suspicionMax   time.Duration
	remoteInterval time.Duration
	deadInterval   time.Duration
	seedInterval   time.Duration
	digestInterval time.Duration
	convergence    time.Duration // until an update has reached all members
	pauseThreshold time.Duration // a longer gap between ticks counts as a pause
}

func deriveTimes(interval time.Duration) times {
	return times{
		tick:           interval / 5,
		directTimeout:  interval / 2,
		probeTimeout:   2 * interval,
		suspicionMin:   4 * interval,
		suspicionMax:   10 * interval,
		remoteInterval: 2 * interval,
		deadInterval:   10 * interval,
		seedInterval:   2 * interval,
		digestInterval: 4 * interval,
		convergence:    2 * interval,
		pauseThreshold: 2 * interval,
	}
}
