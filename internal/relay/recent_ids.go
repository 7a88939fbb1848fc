package relay

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

const (
	defaultRecentIDs = 4096
	// recentIDsPerMB is how many IDs of ended messages are remembered for each MB of the memory limit, at most.
	recentIDsPerMB = 1024
	// recentIDRetention is how long an ID is remembered at least, unless there are too many: a client may send a message
	// again until its time is up.
	recentIDRetention = 2 * time.Minute
)

// idDigest identifies an ID without its text, which may be long.
type idDigest uint64

// rememberedID is an ID and when it was added.
type rememberedID struct {
	digest  idDigest
	addedAt time.Time
}

// recentIDs remembers the last IDs added, by their digests: defaultRecentIDs in any case, and more for a time. The zero
// value remembers defaultRecentIDs.
type recentIDs struct {
	capacity int
	salt     [16]byte // keeps clients from choosing IDs of the same digest
	digests  map[idDigest]struct{}
	queue    []rememberedID // in the order of their addition
}

// newRecentIDs returns a memory for the IDs of messages that ended, with the memory limit in MB.
func newRecentIDs(memoryMB float64) recentIDs {
	r := recentIDs{capacity: max(defaultRecentIDs, int(memoryMB*recentIDsPerMB))}
	rand.Read(r.salt[:]) // never fails
	return r
}

// digest returns the digest of an ID.
func (r *recentIDs) digest(id string) idDigest {
	text := append(r.salt[:len(r.salt):len(r.salt)], id...)
	sum := sha256.Sum256(text)
	return idDigest(binary.LittleEndian.Uint64(sum[:]))
}

func (r *recentIDs) has(id string) bool {
	_, ok := r.digests[r.digest(id)]
	return ok
}

func (r *recentIDs) add(id string) { r.addDigest(r.digest(id), time.Now()) }

// addDigest adds an ID by its digest, and forgets the oldest ones that need not be remembered any more.
func (r *recentIDs) addDigest(digest idDigest, now time.Time) {
	if r.digests == nil {
		r.digests = map[idDigest]struct{}{}
	}
	if _, ok := r.digests[digest]; ok {
		return
	}
	r.digests[digest] = struct{}{}
	r.queue = append(r.queue, rememberedID{digest, now})
	forgotten := 0
	for left := len(r.queue); left > defaultRecentIDs; left-- {
		if left <= r.capacity && now.Sub(r.queue[forgotten].addedAt) < recentIDRetention {
			break
		}
		delete(r.digests, r.queue[forgotten].digest)
		forgotten++
	}
	r.queue = r.queue[forgotten:]
}

// recentIDsSnapshot is the state of recentIDs as the next process receives it.
type recentIDsSnapshot struct {
	Salt    []byte `json:"salt"`
	Digests []byte `json:"digests"` // 8 bytes each, little endian, oldest first
}

// snapshot returns the state for the next process.
func (r *recentIDs) snapshot() recentIDsSnapshot {
	snapshot := recentIDsSnapshot{Salt: r.salt[:], Digests: make([]byte, 0, 8*len(r.queue))}
	for _, remembered := range r.queue {
		snapshot.Digests = binary.LittleEndian.AppendUint64(snapshot.Digests, uint64(remembered.digest))
	}
	return snapshot
}

// restore adds the IDs of a snapshot. It must precede all others, as they have the salt of the snapshot from then on.
func (r *recentIDs) restore(snapshot recentIDsSnapshot) {
	if len(snapshot.Salt) != len(r.salt) { // of a process that did not send one
		return
	}
	copy(r.salt[:], snapshot.Salt)
	now := time.Now()
	for digests := snapshot.Digests; len(digests) >= 8; digests = digests[8:] {
		r.addDigest(idDigest(binary.LittleEndian.Uint64(digests)), now)
	}
}
