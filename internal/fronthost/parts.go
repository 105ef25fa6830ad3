package fronthost

import "slices"

// maxPartsBytes bounds the records of blobs of which others have not arrived yet.
const maxPartsBytes = 8 << 20

// blobParts holds the records of large blobs that have not arrived whole, so that a
// repeated read goes on after them. It drops the oldest blobs, but never the newest one.
type blobParts struct {
	records map[fetchKey]map[string][]byte // by key of the record
	order   []fetchKey                     // oldest first
	size    int
}

func newBlobParts() *blobParts { return &blobParts{records: make(map[fetchKey]map[string][]byte)} }

// add adds the records of a blob that values holds.
func (p *blobParts) add(key fetchKey, values map[string][]byte) {
	for n := range key.ref.Records {
		chunk := key.ref.ChunkKey(n)
		value, arrived := values[chunk]
		if _, held := p.records[key][chunk]; held || !arrived {
			continue
		}
		if p.records[key] == nil {
			p.records[key] = make(map[string][]byte)
			p.order = append(p.order, key)
		}
		p.records[key][chunk] = value
		p.size += len(value)
	}
	for p.size > maxPartsBytes && len(p.order) > 1 {
		p.remove(p.order[0])
	}
}

func (p *blobParts) remove(key fetchKey) {
	if p.records[key] == nil {
		return
	}
	for _, value := range p.records[key] {
		p.size -= len(value)
	}
	delete(p.records, key)
	p.order = slices.DeleteFunc(p.order, func(other fetchKey) bool { return other == key })
}
