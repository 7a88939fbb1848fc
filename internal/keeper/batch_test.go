package keeper

import (
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// unpiped is a transport that sends a message once the one before is answered.
type unpiped struct{ *raft.InmemTransport }

func (unpiped) AppendEntriesPipeline(raft.ServerID, raft.ServerAddress) (raft.AppendPipeline, error) {
	return nil, raft.ErrPipelineReplicationNotSupported
}

// What a fleet's members confirm while a message is on its way to another region goes in few messages after it: each takes as long
// as the regions are apart, so a turn of 2,000 members in messages of 64 took 32 times that.
func TestAFleetsWordsGoInFewMessages(t *testing.T) {
	const words = 2000
	c := Default()
	rc := raftConfig(&c)
	rc.LocalID, rc.LeaderLeaseTimeout = "near", rc.HeartbeatTimeout
	_, near := raft.NewInmemTransport("near")
	_, far := raft.NewInmemTransport("far")
	near.Connect("far", far)
	far.Connect("near", near)
	hold, release, quit := make(chan struct{}), make(chan struct{}), make(chan struct{})
	counts := make(chan int, words)
	defer close(quit)
	go func() {
		for {
			select {
			case <-quit:
				return
			case rpc := <-far.Consumer():
				switch req := rpc.Command.(type) {
				case *raft.RequestPreVoteRequest:
					rpc.Respond(&raft.RequestPreVoteResponse{RPCHeader: req.RPCHeader, Term: req.Term, Granted: true}, nil)
				case *raft.RequestVoteRequest:
					rpc.Respond(&raft.RequestVoteResponse{RPCHeader: req.RPCHeader, Term: req.Term, Granted: true}, nil)
				case *raft.AppendEntriesRequest:
					last := req.PrevLogEntry + uint64(len(req.Entries))
					answer := func() {
						rpc.Respond(&raft.AppendEntriesResponse{RPCHeader: req.RPCHeader, Term: req.Term, LastLog: last, Success: true}, nil)
					}
					select {
					case <-hold:
					default: // it is being elected
						answer()
						continue
					}
					if len(req.Entries) == 0 {
						answer()
						continue
					}
					counts <- len(req.Entries)
					go func() { // the messages of its heart are answered meanwhile
						<-release
						answer()
					}()
				}
			}
		}
	}()
	store := raft.NewInmemStore()
	r, err := raft.NewRaft(rc, newMachine(), store, store, raft.NewInmemSnapshotStore(), unpiped{near})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { r.Shutdown().Error() }()
	if err := r.BootstrapCluster(raft.Configuration{Servers: []raft.Server{{ID: "near", Address: "near"}, {ID: "far", Address: "far"}}}).Error(); err != nil {
		t.Fatal(err)
	}
	for r.State() != raft.Leader || r.Barrier(time.Minute).Error() != nil {
		time.Sleep(time.Millisecond)
	}
	close(hold)
	all := r.LastIndex() + words
	var futures []raft.ApplyFuture
	for range words {
		futures = append(futures, r.Apply(framed([]byte("{}")), time.Minute))
	}
	for r.LastIndex() < all { // all are in the log here
		time.Sleep(time.Millisecond)
	}
	close(release)
	for _, f := range futures {
		if err := f.Error(); err != nil {
			t.Fatal(err)
		}
	}
	close(counts)
	messages := 0
	for range counts {
		messages++
	}
	if messages > 4 {
		t.Errorf("%d words went in %d messages", words, messages)
	}
}
