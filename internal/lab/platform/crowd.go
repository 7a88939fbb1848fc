package platform

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// crowdPause is how long a peer of a crowd waits before it connects again.
const crowdPause = 200 * time.Millisecond

// shortFields returns header fields of a few bytes each, with different names, size bytes in all.
func shortFields(size int) []byte {
	var fields []byte
	for i := 0; len(fields) < size; i++ {
		fields = fmt.Appendf(fields, "%x:\r\n", i)
	}
	return fields[:size]
}

// cutInto returns data in pieces of the given size.
func cutInto(data []byte, size int) (pieces [][]byte) {
	for len(data) > size {
		pieces, data = append(pieces, data[:size]), data[size:]
	}
	return append(pieces, data)
}

// stalledBody returns the start of a valid request with a body of 64 KiB, up to the given part of that body.
func stalledBody(valid []byte, size int) []byte {
	head, _, _ := bytes.Cut(valid, []byte("Content-Length"))
	return append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head, maxBodyBytes), make([]byte, size)...)
}

// crowdBehaviours lists what the peers of a crowd send, in turn: each holds as much of the relay's memory as one may.
var crowdBehaviours = []behaviour{
	{name: "short fields without end", pieces: func(*rand.Rand, []byte) [][]byte {
		return [][]byte{append([]byte("POST /api HTTP/1.1\r\n"), shortFields(16000)...)}
	}},
	{name: "short fields slowly", interval: 50 * time.Millisecond, pieces: func(*rand.Rand, []byte) [][]byte {
		return cutInto(append([]byte("POST /api HTTP/1.1\r\n"), shortFields(16000)...), 300)
	}},
	{name: "a large body that stops", pieces: func(r *rand.Rand, valid []byte) [][]byte {
		return [][]byte{stalledBody(valid, r.IntN(maxBodyBytes))}
	}},
	{name: "a large body slowly", interval: 100 * time.Millisecond, pieces: func(_ *rand.Rand, valid []byte) [][]byte {
		return cutInto(stalledBody(valid, maxBodyBytes-1), 1500)
	}},
	{name: "a request slowly", interval: 100 * time.Millisecond, pieces: func(_ *rand.Rand, valid []byte) [][]byte {
		return cutInto(valid[:len(valid)-1], 12)
	}},
	{name: "nothing, in a crowd", pieces: func(*rand.Rand, []byte) [][]byte { return nil }},
}

// ConnectCrowd keeps the scenario's crowd connected until the context ends, and returns once all have disconnected.
func (s *Strangers) ConnectCrowd(ctx context.Context) {
	var peers sync.WaitGroup
	defer peers.Wait()
	for number := range s.Scenario.Load.Crowd {
		peers.Go(func() { s.runCrowdPeer(ctx, number) })
	}
}

// runCrowdPeer connects one peer again and again until the context ends.
func (s *Strangers) runCrowdPeer(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(s.Scenario.Seed, uint64(number)))
	for i := number; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(r.Int64N(int64(2 * crowdPause)))):
		}
		m := crowdBehaviours[i%len(crowdBehaviours)]
		pieces := m.pieces(r, s.validRequest(r, fmt.Sprintf("c%x-%x", number, i)))
		if relay, addr := s.Relays.next(); relay != "" {
			s.runOne(m, pieces, relay, addr)
		}
	}
}
