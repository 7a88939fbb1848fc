package replication

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/internal/journal"
	"larchrouter/internal/replication/state"
)

// startReplica starts a replica server, and returns it with the Replica that the keepers would list.
func startReplica(t testing.TB, dir string, diskBytes int64) (*ReplicaServer, state.Replica) {
	t.Helper()
	server, err := OpenReplicaServer(dir, diskBytes)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.Serve(listener)
	t.Cleanup(server.Close)
	return server, state.Replica{Name: filepath.Base(dir), Addr: listener.Addr().String(), Folder: server.Folder}
}

func acceptedRecord(id string, bodyBytes int) journal.Record {
	return journal.Record{Op: journal.OpAccepted, Entry: &journal.Entry{ID: id, Class: "order", Due: time.Now().Add(time.Hour).UnixMilli(), Body: bytes.Repeat([]byte("b"), bodyBytes), Group: 1}}
}

func post(t testing.TB, replica state.Replica, path string, payload, answer any) error {
	t.Helper()
	stamped, ok := answer.(interface{ stamp() Stamp })
	if !ok {
		t.Fatalf("%T is not an answer type", answer)
	}
	_, _, err := call(context.Background(), http.DefaultClient, replica, path, payload, stamped, unixMilli)
	return err
}

func entryIDs(records []journal.Record) (ids []string) {
	for _, r := range records {
		if r.Entry != nil {
			ids = append(ids, r.Entry.ID)
		}
	}
	return ids
}

// Guards against a replica that loses confirmed records or its promise over a restart, and against one that accepts records of a
// writer after it has promised itself to a later one.
func TestReplicaKeepsConfirmedStateAcrossRestarts(t *testing.T) {
	dir := t.TempDir()
	server, replica := startReplica(t, dir, 1<<23)
	var got BatchResponse
	if err := post(t, replica, CopyPath, Batch{Group: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{acceptedRecord("m1", 5)}}, &got); !errors.As(err, new(*state.MissingRecordsError)) {
		t.Errorf("records before a whole copy: %v, want that earlier records are missing", err)
	}
	if err := post(t, replica, CopyPath, Batch{Group: 1, Epoch: 1, Writer: "a", First: 1, Whole: true, Records: []journal.Record{acceptedRecord("m0", 5)}}, &got); err != nil {
		t.Fatal(err)
	}
	for range 2 { // a repeated batch is stored once
		batch := Batch{Group: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{acceptedRecord("m1", 5), {Op: journal.OpTry, ID: "m1", WaitMs: 50}}}
		if err := post(t, replica, CopyPath, batch, &got); err != nil || got.Next != 3 {
			t.Fatalf("next %d, %v, want 3", got.Next, err)
		}
	}
	if err := post(t, replica, PromisePath, PromiseRequest{Group: 1, Epoch: 2, Writer: "b"}, &PromiseResponse{}); err != nil {
		t.Fatal(err)
	}
	server.Close()
	_, replica = startReplica(t, dir, 1<<23)
	err := post(t, replica, CopyPath, Batch{Group: 1, Epoch: 1, Writer: "a", First: 3, Records: []journal.Record{acceptedRecord("m2", 5)}}, &got)
	var fenced *state.FencedError
	if !errors.As(err, &fenced) || fenced.Writer != "b" {
		t.Errorf("the earlier writer, after a restart: %v, want fenced by b", err)
	}
	var promised PromiseResponse
	if err := post(t, replica, PromisePath, PromiseRequest{Group: 1, Epoch: 2, Writer: "b", WantCopy: true}, &promised); err != nil {
		t.Fatal(err)
	}
	if got := entryIDs(promised.Records); promised.Next != 3 || promised.ContentWriter != "a" || fmt.Sprint(got) != "[m0 m1]" || promised.Records[1].Entry.Tries != 1 {
		t.Errorf("the replica has %v up to %d by %s", got, promised.Next, promised.ContentWriter)
	}
	other := replica
	other.Folder = "another"
	if err := post(t, other, PromisePath, PromiseRequest{Group: 1, Epoch: 2, Writer: "b", WantCopy: true}, &promised); !errors.As(err, new(*FolderLostError)) {
		t.Errorf("a replica with another folder: %v, want that its folder is lost", err)
	}
}

// Guards against malformed calls that stop a replica or change its copies: bodies cut at any byte, of another JSON type or too
// long, and records that do not belong to the group.
func TestReplicaRejectsMalformedCalls(t *testing.T) {
	server, replica := startReplica(t, t.TempDir(), 1<<23)
	if err := post(t, replica, CopyPath, Batch{Group: 1, Epoch: 1, Writer: "a", First: 1, Whole: true, Records: []journal.Record{acceptedRecord("m0", 5)}}, &BatchResponse{}); err != nil {
		t.Fatal(err)
	}
	whole, err := json.Marshal(Batch{Group: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{acceptedRecord("m1", 5)}})
	if err != nil {
		t.Fatal(err)
	}
	mustReject := func(path string, body []byte) {
		resp, err := http.Post("http://"+replica.Addr+path, "application/json", bytes.NewReader(body))
		if err != nil {
			t.Fatalf("%.60q: %v", body, err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		if resp.StatusCode < 400 || resp.StatusCode >= 500 || !strings.Contains(string(text), "error") {
			t.Errorf("%.60q is answered %d %s", body, resp.StatusCode, text)
		}
	}
	for n := range whole {
		mustReject(CopyPath, whole[:n])
	}
	for _, path := range []string{CopyPath, PromisePath, DropPath} {
		mustReject(path, []byte(`[]`))
		mustReject(path, bytes.Repeat([]byte("["), maxBodyBytes+2))
	}
	for _, b := range []Batch{{}, {Group: 1, Epoch: 1, Writer: strings.Repeat("w", maxNameBytes+1)}, {Group: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{{Op: journal.OpAccepted}}},
		{Group: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{{Op: journal.OpGroupState, GroupState: &journal.GroupState{Group: 9}}}},
		{Group: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{{Op: journal.OpGroupNext, Group: 1, NextRecord: 99}}},
		{Group: 2, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{acceptedRecord("m9", 1)}}, {Group: 1, Epoch: 1, Writer: "a", First: 0}, {Group: 1, Writer: "a"}} {
		data, _ := json.Marshal(b)
		mustReject(CopyPath, data)
	}
	var promised PromiseResponse
	if err := post(t, replica, PromisePath, PromiseRequest{Group: 1, Epoch: 1, Writer: "a", WantCopy: true}, &promised); err != nil || promised.Next != 1 || len(promised.Records) != 1 {
		t.Errorf("after malformed calls it has %d records up to %d, %v", len(promised.Records), promised.Next, err)
	}
	if n := server.Len(); n > 2 {
		t.Errorf("%d copies were created, want at most 2", n)
	}
}

// Guards against a replica that confirms records that it could not write, and one that returns a damaged copy as complete.
func TestReplicaReportsFullAndDamagedDisk(t *testing.T) {
	dir := t.TempDir()
	server, replica := startReplica(t, dir, maxStoredCopies*(200<<10))
	var got BatchResponse
	if err := post(t, replica, CopyPath, Batch{Group: 1, Epoch: 1, Writer: "a", First: 1, Whole: true}, &got); err != nil {
		t.Fatal(err)
	}
	number := uint64(1)
	var err error
	for ; err == nil && number < 40; number++ {
		err = post(t, replica, CopyPath, Batch{Group: 1, Epoch: 1, Writer: "a", First: number, Records: []journal.Record{acceptedRecord(fmt.Sprint("m", number), 8<<10)}}, &got)
	}
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Status != http.StatusInsufficientStorage || refused.Remedy() == "" {
		t.Fatalf("after %d records: %v, want that its disk is full", number, err)
	}
	full := got.Next
	var promised PromiseResponse
	if err := post(t, replica, PromisePath, PromiseRequest{Group: 1, Epoch: 1, Writer: "a", WantCopy: true}, &promised); err != nil || promised.Next != full || len(promised.Records) != int(full-1) {
		t.Errorf("it has %d records up to %d (%v), want those it confirmed, up to %d", len(promised.Records), promised.Next, err, full)
	}
	server.Close()
	path := filepath.Join(dir, "copies", "1", "journal")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 1
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	_, replica = startReplica(t, dir, maxStoredCopies*(200<<10))
	promised = PromiseResponse{}
	if err := post(t, replica, PromisePath, PromiseRequest{Group: 1, Epoch: 1, Writer: "a", WantCopy: true}, &promised); err != nil || promised.ContentWriter != "" {
		t.Errorf("a damaged copy is returned as one by %q up to %d, %v", promised.ContentWriter, promised.Next, err)
	}
}

// Guards against copies that are never removed, and against a copy that is removed just after its writer has started.
func TestUnusedCopiesAreRemoved(t *testing.T) {
	server, replica := startReplica(t, t.TempDir(), 1<<23)
	for id := range uint64(maxStoredCopies) {
		if err := post(t, replica, CopyPath, Batch{Group: id + 1, Epoch: 1, Writer: "a", First: 1, Whole: true}, &BatchResponse{}); err != nil {
			t.Fatal(err)
		}
	}
	if err := post(t, replica, CopyPath, Batch{Group: 99, Epoch: 1, Writer: "a", First: 1, Whole: true}, &BatchResponse{}); err == nil {
		t.Error("the replica accepts more copies than its disk is divided into")
	}
	server.Sweep([]uint64{1, 2})
	if n := server.Len(); n != maxStoredCopies {
		t.Errorf("%d copies after one sweep, want all %d", n, maxStoredCopies)
	}
	server.Sweep([]uint64{1, 2})
	if n := server.Len(); n != 2 {
		t.Errorf("%d copies after two sweeps, want the 2 that are listed", n)
	}
	if err := post(t, replica, DropPath, PromiseRequest{Group: 1, Epoch: 1, Writer: "a"}, &BatchResponse{}); err != nil || server.Len() != 1 {
		t.Errorf("dropped by its writer: %v, %d copies", err, server.Len())
	}
}

// Guards against a record that is committed before the required number of replicas has it, against a slow replica that delays
// commits, and against times that are read as those of another clock.
func TestRecordsCommitAtEnoughReplicas(t *testing.T) {
	unblock := make(chan struct{})
	var blocked atomic.Bool
	var replicas []state.Replica
	for i := range 3 {
		dir := filepath.Join(t.TempDir(), fmt.Sprint("h", i))
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		_, replica := startReplica(t, dir, 1<<23)
		replicas = append(replicas, replica)
	}
	behindProxy := func(replica state.Replica, delay func() bool) state.Replica { // a proxy that blocks calls for which delay returns true
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		target := replica.Addr
		stream := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if delay() {
				<-unblock
			}
			resp, err := http.Post("http://"+target+req.URL.Path, "application/json", req.Body)
			if err != nil {
				w.WriteHeader(http.StatusBadGateway)
				return
			}
			defer resp.Body.Close()
			w.WriteHeader(resp.StatusCode)
			io.Copy(w, resp.Body)
		})}
		go stream.Serve(listener)
		t.Cleanup(func() { stream.Close() })
		replica.Addr = listener.Addr().String()
		return replica
	}
	set := []state.Replica{replicas[0], behindProxy(replicas[1], blocked.Load), behindProxy(replicas[2], func() bool { return true })}
	progress := make(chan struct{}, 1)
	var records []journal.Record
	var stream *Stream
	stream = NewStream(1, "w", 1, http.DefaultClient, func(context.Context) ([]journal.Record, uint64, bool) { return nil, 1, true }, func() {
		select {
		case progress <- struct{}{}:
		default:
		}
	}, func(*state.FencedError) { t.Error("fenced") })
	defer stream.Close()
	defer close(unblock)
	stream.SetReplicas(1, 2, set)
	waitFor := func(what string, ok func(Status) bool) {
		t.Helper()
		for end := time.After(10 * time.Second); !ok(stream.Status()); {
			select {
			case <-progress:
			case <-end:
				t.Fatalf("timed out waiting for %s: %+v", what, stream.Status())
			}
		}
	}
	waitFor("enough replicas", func(status Status) bool { return !status.UnderReplicated })
	for i := range 50 {
		records = append(records, acceptedRecord(fmt.Sprint("m", i), 100))
	}
	next := stream.Append(true, records...)
	waitFor("records to be committed though one replica does not answer", func(status Status) bool { return status.Committed == next })
	blocked.Store(true)
	delay := stream.Append(true, acceptedRecord("late", 100))
	time.Sleep(50 * time.Millisecond)
	if status := stream.Status(); status.Committed >= delay {
		t.Errorf("a record is committed that one replica of three has, where two are required: %+v", status)
	}
}

// Guards against a takeover that continues without some committed records: it asks until enough replicas have promised, and uses
// the newest of their copies.
func TestFindWaitsForQuorum(t *testing.T) {
	var replicas []state.Replica
	for i := range 3 {
		_, replica := startReplica(t, filepath.Join(t.TempDir(), fmt.Sprint("h", i)), 1<<23)
		replicas = append(replicas, replica)
	}
	for i, replica := range replicas[:2] {
		b := Batch{Group: 1, Epoch: 1, Writer: "a", First: uint64(1 + i), Whole: true, Records: []journal.Record{acceptedRecord("m0", 1), acceptedRecord("m1", 1)}[:1+i]}
		if err := post(t, replica, CopyPath, b, &BatchResponse{}); err != nil {
			t.Fatal(err)
		}
	}
	sets := []state.ReplicaSet{{Copies: 2, Replicas: replicas}}
	request := PromiseRequest{Group: 1, Epoch: 2, Writer: "b"}
	found, err := FindNewestCopy(context.Background(), http.DefaultClient, request, sets)
	if err != nil || found == nil || found.Next != 2 || fmt.Sprint(entryIDs(found.Records)) != "[m0 m1]" {
		t.Fatalf("found %+v, %v", found, err)
	}
	unreachable := state.Replica{Name: "gone", Addr: "127.0.0.1:1", Folder: "x"}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err = FindNewestCopy(ctx, http.DefaultClient, PromiseRequest{Group: 1, Epoch: 3, Writer: "c"}, []state.ReplicaSet{{Copies: 1, Replicas: []state.Replica{replicas[0], unreachable}}})
	var quorum *QuorumError
	if !errors.As(err, &quorum) || !strings.Contains(quorum.Error(), "gone") || quorum.Remedy() == "" {
		t.Errorf("with one of two unreachable: %v, want the name of the missing one", err)
	}
	if _, err = FindNewestCopy(context.Background(), http.DefaultClient, PromiseRequest{Group: 1, Epoch: 1, Writer: "a"}, sets); !errors.As(err, new(*state.FencedError)) {
		t.Errorf("a writer that was succeeded by another: %v, want fenced", err)
	}
}

// FuzzReplicaServer sends arbitrary bytes as the body of each call.
func FuzzReplicaServer(f *testing.F) {
	for _, s := range []string{`{}`, `{"estate":1,"epoch":1,"writer":"a","first":1,"whole":true,"records":[{"op":"taken","e":{"id":"m","estate":1}}]}`, `{"estate":1,"epoch":18446744073709551615,"writer":"a","first":18446744073709551615,"records":[{"op":"try","i":"m"}]}`} {
		f.Add([]byte(s))
	}
	_, replica := startReplica(f, f.TempDir(), 1<<23)
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{CopyPath, PromisePath, DropPath} {
			resp, err := http.Post("http://"+replica.Addr+path, "application/json", bytes.NewReader(body))
			if err != nil {
				t.Fatalf("%q: %v", body, err)
			}
			resp.Body.Close()
		}
	})
}

// Guards against a call that opens a copy again after Close: in an upgrade its folder belongs to the next process by then.
func TestClosedReplicaOpensNoCopy(t *testing.T) {
	dir := t.TempDir()
	server, err := OpenReplicaServer(dir, 1<<23)
	if err != nil {
		t.Fatal(err)
	}
	batch := Batch{Group: 1, Epoch: 1, Writer: "w", First: 1, Whole: true}
	if _, err := server.acceptBatch(t.Context(), batch); err != nil {
		t.Fatal(err)
	}
	server.Close()
	if err := os.RemoveAll(server.dir); err != nil {
		t.Fatal(err)
	}
	var refused *RefusedError
	if _, err := server.acceptBatch(t.Context(), batch); !errors.As(err, &refused) {
		t.Errorf("error %v, want a refusal", err)
	}
	if _, err := os.Stat(server.dir); !os.IsNotExist(err) {
		t.Errorf("the folder of the copies exists again: %v", err)
	}
}
