package gossip

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed"

	"github.com/sesamestand/sesamestand/internal/core/member"
)

func drawMessage(t *rapid.T) member.Message {
	name := rapid.StringMatching(`[a-z0-9-]{1,24}`)
	m := member.Message{
		Kind: member.Kind(rapid.IntRange(1, 5).Draw(t, "kind")), Seq: rapid.Uint64().Draw(t, "seq"),
		From: name.Draw(t, "from"), To: name.Draw(t, "to"), Subject: name.Draw(t, "subject"),
		SubjectAddr: "203.0.113.250:65535", WantRows: rapid.Bool().Draw(t, "want"), SyncDataCentre: name.Draw(t, "sync of"),
	}
	for range rapid.IntRange(0, 6).Draw(t, "rows") {
		m.Updates = append(m.Updates, member.Row{ID: name.Draw(t, "id"), DataCentre: name.Draw(t, "data centre"),
			Addr:        rapid.SampledFrom([]string{"10.1.2.3:65535", "[2001:db8:1:2:3:4:5:6]:7000"}).Draw(t, "addr"),
			Incarnation: rapid.Int64Min(0).Draw(t, "incarnation"), State: member.State(rapid.IntRange(0, 2).Draw(t, "state")),
			Leaving: rapid.Bool().Draw(t, "leaving"), Reporter: name.Draw(t, "accuser")})
		m.Versions = append(m.Versions, member.ModelVersion{Model: name.Draw(t, "model"), Version: rapid.Int64Min(0).Draw(t, "version")})
		m.Digests = append(m.Digests, member.Digest{DataCentre: name.Draw(t, "digest of"), Sum: rapid.Uint64().Draw(t, "sum")})
	}
	return m
}

// Guards against packets that are longer than the size estimate by which the core
// fills them, and against fields lost in encoding or decoding.
func TestEncodedPacketsKeepContentAndSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		data, err := NewCodec("token").Encode(m)
		if member.Size(m) > member.MaxPacketBytes && err != nil {
			return
		}
		must.NoError(t, err)
		must.LessEq(t, member.Size(m), len(data))
		got, err := NewCodec("token").Decode(data)
		must.NoError(t, err)
		must.Eq(t, m, got)
	})
}

// Guards against accepting corrupted packets and packets of another cluster.
func TestPacketsWithInvalidSignatureAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data, err := NewCodec("token").Encode(member.Message{Kind: member.Ping, From: "a", Seq: rapid.Uint64().Draw(t, "seq")})
		must.NoError(t, err)
		_, err = NewCodec("other").Decode(data)
		must.ErrorIs(t, err, ErrSignature)
		data[rapid.IntRange(0, len(data)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		_, err = NewCodec("token").Decode(data)
		must.Error(t, err)
	})
}
