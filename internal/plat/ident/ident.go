package ident

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Router is the id of a router process, as configured in its settings.
type Router string

// Target is the id of an engine or a replica of a plain service, as in the platform's list.
type Target string

// Workspace is the id of a customer's workspace.
type Workspace string

// Service is the name of a service to which requests can be routed.
type Service string

// Pool is the name of the set of targets that serve one service in one region.
type Pool string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region.
type Region string

// Version is the version of a service's software.
type Version string

// Incarnation counts the starts of a process. A process with a higher incarnation no longer has the
// in-memory state of the lower ones.
type Incarnation uint64

// Revision is the sequence number of a recorded configuration; zero means none.
type Revision uint64

// Epoch counts the holders of a lease; it never decreases.
type Epoch uint64

// ChatKey identifies a chat by a 64-bit xxHash.
type ChatKey uint64

// TargetHash represents a target id in messages between routers, as a 32-bit xxHash.
type TargetHash uint32

// Shard is the number of a part of a pool, counted from zero.
type Shard uint32

// Cores is the processor time that a box may use, in cores. It has the precision of the wire format
// between routers, so that all routers compare equal values.
type Cores float32

// Work is the load of a request on an engine, in thousandths of a plain request.
type Work int64

// Requests returns the work as a number of plain requests.
func (w Work) Requests() float64 { return float64(w) / float64(OneRequest) }

// OneRequest is the default work of a request for which there is no estimate.
const OneRequest Work = 1000

// Tokens is a number of tokens of a prompt or an answer.
type Tokens int32

// Attempt is the random id of one attempt to send a request to a target.
type Attempt string

// Hash returns the hash that represents a target id in messages between routers.
func (t Target) Hash() TargetHash {
	return TargetHash(xxhash.Sum64String(string(t)))
}

// Hash returns the 32-bit hash of a router's id.
func (r Router) Hash() uint32 {
	return uint32(xxhash.Sum64String(string(r)))
}

// PoolHash represents a pool's name in messages between routers, as a 32-bit xxHash.
type PoolHash uint32

// Hash returns the hash that represents a pool's name in messages between routers.
func (p Pool) Hash() PoolHash {
	return PoolHash(xxhash.Sum64String(string(p)))
}

// NewPool returns the name of the pool of a service in a region.
func NewPool(service Service, region Region) Pool {
	return Pool(string(service) + "@" + string(region))
}

// NewChatKey hashes a workspace and the identifier of a chat within it.
func NewChatKey(workspace Workspace, chat string) ChatKey {
	d := xxhash.New()
	_, _ = d.WriteString(string(workspace))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(chat)
	return ChatKey(d.Sum64())
}

// PartHash identifies a part of prompts that requests may share, as a 64-bit xxHash of its id. It
// does not depend on the workspace: targets cache a part once for all workspaces.
type PartHash uint64

// NewPartHash hashes the id of a part of a prompt.
func NewPartHash(id string) PartHash { return PartHash(NewChatKey("", id)) }

// RequestHash is the SHA-256 hash of a request's method, path with query, and body.
type RequestHash [sha256.Size]byte

// HashRequest hashes the parts of a request by which a target distinguishes requests. The body may be in several
// segments.
func HashRequest(method, path string, body ...[]byte) RequestHash {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + path + "\x00"))
	for _, segment := range body {
		h.Write(segment)
	}
	return RequestHash(h.Sum(nil))
}

// Fingerprint identifies a request by its content and its workspace: requests of a workspace that
// are equal for a target have the same fingerprint, whatever their ids. It is 64 bits of a SHA-256
// hash, so that no caller can construct a request with the fingerprint of another caller's request.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a workspace's request to a host.
func NewFingerprint(workspace Workspace, host string, request RequestHash) Fingerprint {
	h := sha256.New()
	h.Write([]byte(string(workspace) + "\x00" + host + "\x00"))
	h.Write(request[:])
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// String returns the fingerprint in hexadecimal, the format used in logs.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// Mix combines two hashes into one uniformly distributed hash without allocating.
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}

// Unit maps a hash to the open interval (0, 1).
func Unit(h uint64) float64 {
	return (float64(h>>11) + 0.5) / (1 << 53)
}

// Clock returns the current time; tests use a fake clock.
type Clock func() time.Time

// Elapsed returns the time from since to now, by the monotonic clock or the wall clock, whichever
// gives more. The monotonic clock stops while the box is suspended, so that state from before the
// suspension would look fresh; the wall clock continues, but can be set. An elapsed time that is
// too long only causes an unnecessary refresh.
func Elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
