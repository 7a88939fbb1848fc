package keeper

import (
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// unpipelinedTransport is a transport that sends a message only after the previous one is answered.
type unpipelinedTransport struct{ *raft.InmemTransport }

func (unpipelinedTransport) AppendEntriesPipeline(raft.ServerID, raft.ServerAddress) (raft.AppendPipeline, error) {
	return nil, raft.ErrPipelineReplicationNotSupported
}

// Guards against the library's default of 64 entries in a message. Confirmations of a fleet's members that arrive while a
// message is in flight to another region have to go in few messages after it: each takes as long as the delay between
// the regions, so that a revision of 2,000 members took 32 times that delay.
func TestConfirmationsAreBatched(t *testing.T) {
	const confirmations = 2000
	config := Default()
	raftConf := raftConfig(&config)
	raftConf.LocalID, raftConf.LeaderLeaseTimeout = "near", raftConf.HeartbeatTimeout
	_, near := raft.NewInmemTransport("near")
	_, far := raft.NewInmemTransport("far")
	near.Connect("far", far)
	far.Connect("near", near)
	delayAnswers, release, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	counts := make(chan int, confirmations)
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
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
					case <-delayAnswers:
					default: // during the election
						answer()
						continue
					}
					if len(req.Entries) == 0 {
						answer()
						continue
					}
					counts <- len(req.Entries)
					go func() { // heartbeats are answered meanwhile
						<-release
						answer()
					}()
				}
			}
		}
	}()
	store := raft.NewInmemStore()
	node, err := raft.NewRaft(raftConf, newStateMachine(), store, store, raft.NewInmemSnapshotStore(), unpipelinedTransport{near})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { node.Shutdown().Error() }()
	if err := node.BootstrapCluster(raft.Configuration{Servers: []raft.Server{{ID: "near", Address: "near"}, {ID: "far", Address: "far"}}}).Error(); err != nil {
		t.Fatal(err)
	}
	for node.State() != raft.Leader || node.Barrier(time.Minute).Error() != nil {
		time.Sleep(time.Millisecond)
	}
	close(delayAnswers)
	lastIndex := node.LastIndex() + confirmations
	var futures []raft.ApplyFuture
	for range confirmations {
		futures = append(futures, node.Apply(addChecksum([]byte("{}")), time.Minute))
	}
	for node.LastIndex() < lastIndex { // all entries are in the leader's log
		time.Sleep(time.Millisecond)
	}
	close(release)
	for _, future := range futures {
		if err := future.Error(); err != nil {
			t.Fatal(err)
		}
	}
	close(counts)
	messages := 0
	for range counts {
		messages++
	}
	if messages > 4 {
		t.Errorf("%d confirmations took %d messages, want at most 4", confirmations, messages)
	}
}
