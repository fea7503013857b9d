package origin

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
)

// archivedRecord is an origin in the archive.
type archivedRecord struct {
	Record
	// expected is set if the stream had not begun when the record was made. Another record of the stream counts more.
	expected bool
}

// packedOrigin is the origin of several streams.
type packedOrigin struct {
	Service ident.Service `json:"service"`
	Version ident.Version `json:"version"`
	// Began is set if the streams had begun.
	Began bool `json:"began,omitempty"`
	// Keys are the keys of the streams, of keyBytes each.
	Keys []byte `json:"keys"`
}

// keyBytes is the size of a key in a row.
const keyBytes = 8

// packRecords groups records by their origins, in order of their first record.
func packRecords(records []archivedRecord) []packedOrigin {
	type group struct {
		Origin
		expected bool
	}
	var out []packedOrigin
	index := map[group]int{}
	for _, r := range records {
		g := group{r.Origin, r.expected}
		i, exists := index[g]
		if !exists {
			i = len(out)
			index[g] = i
			out = append(out, packedOrigin{Service: r.Service, Version: r.Version, Began: !r.expected})
		}
		out[i].Keys = binary.BigEndian.AppendUint64(out[i].Keys, uint64(r.Key))
	}
	return out
}

// unpackRecords returns the records in the value of a row.
func unpackRecords(value []byte) ([]archivedRecord, error) {
	var packed []packedOrigin
	if err := json.Unmarshal(value, &packed); err != nil {
		return nil, fault.New("origin.unpackRecords", BadRow, err)
	}
	var out []archivedRecord
	for _, p := range packed {
		for key := range slices.Chunk(p.Keys, keyBytes) {
			if len(key) < keyBytes {
				return nil, fault.Newf("origin.unpackRecords", BadRow, "%d bytes at the end", len(key))
			}
			r := Record{Key: Key(binary.BigEndian.Uint64(key)), Origin: Origin{Service: p.Service, Version: p.Version}}
			out = append(out, archivedRecord{Record: r, expected: !p.Began})
		}
	}
	return out, nil
}

// settle returns the origins that follow from all records of some streams. A stream that was expected at two versions
// and is not known to have begun has none.
func settle(records []archivedRecord) []archivedRecord {
	settled := map[Key]archivedRecord{}
	ambiguous := map[Key]bool{}
	for _, r := range records {
		before, exists := settled[r.Key]
		switch {
		case !exists || before.expected && !r.expected:
			settled[r.Key] = r
			delete(ambiguous, r.Key)
		case before.expected == r.expected && before.Origin != r.Origin:
			ambiguous[r.Key] = true
		}
	}
	out := make([]archivedRecord, 0, len(settled))
	for key, r := range settled {
		if !ambiguous[key] {
			out = append(out, r)
		}
	}
	return out
}
