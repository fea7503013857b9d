package ident

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Router is the id of one router process, as its settings give it.
type Router string

// Target is the id of one engine or plain service replica on the platform's list.
type Target string

// Workspace is the id of one customer's workspace.
type Workspace string

// Service is the name of a service that callers can be sent to.
type Service string

// Pool is the name of the targets that serve one service in one region.
type Pool string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region.
type Region string

// Version names a version of a service's software.
type Version string

// Incarnation counts the starts of a process; a higher one has lost the soft state of the lower.
type Incarnation uint64

// Revision counts the recorded configurations; zero is none.
type Revision uint64

// Epoch counts the holders of a lease and only grows.
type Epoch uint64

// ChatKey identifies a chat by hash, 64 bits of xxHash.
type ChatKey uint64

// TargetHash stands for a target id on the wire between routers, 32 bits of xxHash.
type TargetHash uint32

// Shard numbers a part of a pool, from zero.
type Shard uint32

// Cores is how much processor time a box may use, in cores. It is as precise as what
// routers send each other, so that all compare the same numbers.
type Cores float32

// Work measures a request's load on an engine, in work units of one thousandth of a plain request.
type Work int64

// Requests is the work in requests, as people count it.
func (w Work) Requests() float64 { return float64(w) / float64(OneRequest) }

// OneRequest is the work of a request of which nothing else is known.
const OneRequest Work = 1000

// Attempt is the random id of one sending of one request to one target.
type Attempt string

// Hash returns the wire form of a target id.
func (t Target) Hash() TargetHash {
	return TargetHash(xxhash.Sum64String(string(t)))
}

// Hash returns a 32-bit hash of a router's id.
func (r Router) Hash() uint32 {
	return uint32(xxhash.Sum64String(string(r)))
}

// PoolHash stands for a pool's name on the wire between routers, 32 bits of xxHash.
type PoolHash uint32

// Hash returns the wire form of a pool's name.
func (p Pool) Hash() PoolHash {
	return PoolHash(xxhash.Sum64String(string(p)))
}

// NewPool names the pool of a service in a region.
func NewPool(service Service, region Region) Pool {
	return Pool(string(service) + "@" + string(region))
}

// NewChatKey hashes a workspace and what identifies the chat within it.
func NewChatKey(workspace Workspace, chat string) ChatKey {
	d := xxhash.New()
	_, _ = d.WriteString(string(workspace))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(chat)
	return ChatKey(d.Sum64())
}

// RequestHash is SHA-256 of a request's method, path with query, and body.
type RequestHash [sha256.Size]byte

// HashRequest hashes what makes two requests the same to a target.
func HashRequest(method, path string, body []byte) RequestHash {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + path + "\x00"))
	h.Write(body)
	return RequestHash(h.Sum(nil))
}

// Fingerprint is the same for a workspace's requests that are the same to a target, whatever their
// ids: 64 bits of SHA-256, so that nobody can make a request that is taken for another's.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a workspace's request to a host.
func NewFingerprint(workspace Workspace, host string, request RequestHash) Fingerprint {
	h := sha256.New()
	h.Write([]byte(string(workspace) + "\x00" + host + "\x00"))
	h.Write(request[:])
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// String returns the fingerprint in hexadecimal, as logs have it.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// Mix combines two hashes into one well spread hash without allocating.
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}

// Unit maps a hash to the open interval between zero and one.
func Unit(h uint64) float64 {
	return (float64(h>>11) + 0.5) / (1 << 53)
}

// Clock tells the time; tests pass their own.
type Clock func() time.Time

// Elapsed is how long ago something was, by whichever of a box's two clocks counted more. The steady one
// stands still while the box is suspended, so that what was learnt before would look fresh; the time of
// day counts on, but may be set. To take something for older than it is costs another look.
func Elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
