package memory

import (
	"io"
	"net"
	"slices"

	"valescale/internal/plat/fault"
)

// Kind identifies the kind of this package's errors.
type Kind string

// Full is the kind of error when an account has no room.
const Full Kind = "full"

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// segmentSize is the maximum size of a segment, which usual bodies fit into.
	segmentSize = 64 * KB
	// firstSegmentSize is the size of the first segment of data of unknown length. Each further one is twice as
	// large as the one before.
	firstSegmentSize = 4 * KB
	// minSegmentSize is the size of the smallest segment.
	minSegmentSize Bytes = 512
)

// Buffer keeps data in segments that are charged to an account as the data arrives. Unlike one slice it grows
// without a copy.
type Buffer struct {
	reserved *Reservation
	segments [][]byte
	size     int64
}

// NewBuffer returns an empty buffer. It must be closed, after which the account does not count its data.
func NewBuffer(reserved *Reservation) *Buffer { return &Buffer{reserved: reserved} }

// Len returns the size of the data in bytes.
func (b *Buffer) Len() int64 { return b.size }

// Segments returns the data, which must not be changed.
func (b *Buffer) Segments() [][]byte { return b.segments }

// Join returns the data in one slice, which counts as long as the buffer does. The error has the kind Full if there is no
// room for the copy that this may take.
func (b *Buffer) Join() ([]byte, error) {
	const op = "memory.Join"
	switch len(b.segments) {
	case 0:
		return nil, nil
	case 1:
		return b.segments[0], nil
	}
	if !b.reserved.Grow(Bytes(b.size)) {
		return nil, fault.New(op, Full, nil)
	}
	joined := slices.Concat(b.segments...)
	b.segments = [][]byte{joined}
	b.reserved.Shrink(b.reserved.size - Bytes(b.size))
	return joined, nil
}

// Reader returns a reader of the data.
func (b *Buffer) Reader() io.Reader {
	segments := slices.Clone(net.Buffers(b.segments))
	return &segments
}

// Close returns the memory to the account. Further calls, and those of a nil buffer, do nothing.
func (b *Buffer) Close() {
	if b == nil {
		return
	}
	b.reserved.Close()
	b.segments = nil
}

// HasRoom reports whether data of the given length, which may be negative if it is unknown, has room at present.
func (b *Buffer) HasRoom(length int64) bool { return length <= 0 || b.reserved.CanGrow(Bytes(length)) }

// AtMaximum reports whether the buffer is as large as it can be in an account of this size, even alone.
func (b *Buffer) AtMaximum() bool {
	return Bytes(b.size)+segmentSize > b.reserved.account.MaxReservation()
}

// Read reads data to its end, or until the buffer has as many bytes as the limit. The length is that of the data, or
// negative if it is unknown. The error has the kind Full if there is no room for more data.
func (b *Buffer) Read(r io.Reader, length, limit int64) error {
	first := firstSegmentSize
	if length >= 0 {
		first = Bytes(length)
	}
	first = min(first, segmentSize)
	for b.size < limit {
		space, err := b.space(limit, first)
		if err != nil {
			return err
		}
		n, err := r.Read(space)
		b.size += int64(n)
		last := len(b.segments) - 1
		b.segments[last] = b.segments[last][:len(b.segments[last])+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// space returns the unused part of the last segment, or a new segment if that is full.
func (b *Buffer) space(limit int64, first Bytes) ([]byte, error) {
	const op = "memory.Buffer"
	size := first
	if count := len(b.segments); count > 0 {
		last := b.segments[count-1]
		if len(last) < cap(last) {
			return last[len(last):cap(last)], nil
		}
		size = min(Bytes(2*cap(last)), segmentSize)
	}
	size = min(max(size, minSegmentSize), Bytes(limit-b.size))
	if !b.reserved.Grow(size) {
		return nil, fault.New(op, Full, nil)
	}
	b.segments = append(b.segments, make([]byte, 0, size))
	return b.segments[len(b.segments)-1][:size], nil
}
