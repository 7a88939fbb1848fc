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

// serving is a holder that runs, as the keepers would name it.
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
	return journal.Record{Op: journal.OpTaken, Entry: &journal.Entry{ID: id, Class: "order", Due: time.Now().Add(time.Hour).UnixMilli(), Body: bytes.Repeat([]byte("b"), bodyBytes), Estate: 1}}
}

func post(t testing.TB, replica state.Replica, path string, payload, answer any) error {
	t.Helper()
	stamped, ok := answer.(interface{ stamp() Stamp })
	if !ok {
		t.Fatalf("%T is no answer", answer)
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

// Guards against a holder that forgets what it confirmed or whom it promised itself to, across its own processes, and against
// one that takes records of a writer that another has followed.
func TestReplicaKeepsConfirmedStateAcrossRestarts(t *testing.T) {
	dir := t.TempDir()
	server, replica := startReplica(t, dir, 1<<23)
	var got BatchResponse
	if err := post(t, replica, CopyPath, Batch{Group: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{acceptedRecord("m1", 5)}}, &got); !errors.As(err, new(*state.MissingRecordsError)) {
		t.Errorf("records before the whole: %v, want that it lacks what comes before", err)
	}
	if err := post(t, replica, CopyPath, Batch{Group: 1, Epoch: 1, Writer: "a", First: 1, Whole: true, Records: []journal.Record{acceptedRecord("m0", 5)}}, &got); err != nil {
		t.Fatal(err)
	}
	for range 2 { // what comes twice counts once
		batch := Batch{Group: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{acceptedRecord("m1", 5), {Op: journal.OpTry, ID: "m1", Wait: 50}}}
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
		t.Errorf("the writer before, after a restart: %v, want sealed by b", err)
	}
	var promised PromiseResponse
	if err := post(t, replica, PromisePath, PromiseRequest{Group: 1, Epoch: 2, Writer: "b", WantCopy: true}, &promised); err != nil {
		t.Fatal(err)
	}
	if got := entryIDs(promised.Records); promised.Next != 3 || promised.ContentWriter != "a" || fmt.Sprint(got) != "[m0 m1]" || promised.Records[1].Entry.Tries != 1 {
		t.Errorf("it has %v up to %d by %s", got, promised.Next, promised.ContentWriter)
	}
	other := replica
	other.Folder = "another"
	if err := post(t, other, PromisePath, PromiseRequest{Group: 1, Epoch: 2, Writer: "b", WantCopy: true}, &promised); !errors.As(err, new(*FolderLostError)) {
		t.Errorf("a holder whose folder is another: %v, want that it has forgotten", err)
	}
}

// Guards against input that ends a holder or changes what it has: calls cut at any byte, of another shape, too long, and
// records that are none of an estate.
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
	for _, b := range []Batch{{}, {Group: 1, Epoch: 1, Writer: strings.Repeat("w", maxNameBytes+1)}, {Group: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{{Op: journal.OpTaken}}},
		{Group: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{{Op: journal.OpMark, Mark: &journal.Mark{Estate: 9}}}},
		{Group: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{{Op: journal.OpCount, Estate: 1, Next: 99}}},
		{Group: 2, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{acceptedRecord("m9", 1)}}, {Group: 1, Epoch: 1, Writer: "a", First: 0}, {Group: 1, Writer: "a"}} {
		data, _ := json.Marshal(b)
		mustReject(CopyPath, data)
	}
	var promised PromiseResponse
	if err := post(t, replica, PromisePath, PromiseRequest{Group: 1, Epoch: 1, Writer: "a", WantCopy: true}, &promised); err != nil || promised.Next != 1 || len(promised.Records) != 1 {
		t.Errorf("after all that it has %d records up to %d, %v", len(promised.Records), promised.Next, err)
	}
	if n := server.Len(); n > 2 {
		t.Errorf("%d copies came about", n)
	}
}

// Guards against a holder that confirms what it could not write, and one that passes a damaged copy on as whole.
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
		t.Errorf("a damaged copy passes for one by %q up to %d, %v", promised.ContentWriter, promised.Next, err)
	}
}

// Guards against copies that stay for ever, and against one that goes as its writer begins.
func TestUnusedCopiesAreRemoved(t *testing.T) {
	server, replica := startReplica(t, t.TempDir(), 1<<23)
	for id := range uint64(maxStoredCopies) {
		if err := post(t, replica, CopyPath, Batch{Group: id + 1, Epoch: 1, Writer: "a", First: 1, Whole: true}, &BatchResponse{}); err != nil {
			t.Fatal(err)
		}
	}
	if err := post(t, replica, CopyPath, Batch{Group: 99, Epoch: 1, Writer: "a", First: 1, Whole: true}, &BatchResponse{}); err == nil {
		t.Error("it takes more copies than its disk is for")
	}
	server.Sweep([]uint64{1, 2})
	if n := server.Len(); n != maxStoredCopies {
		t.Errorf("%d copies after one look, want all %d", n, maxStoredCopies)
	}
	server.Sweep([]uint64{1, 2})
	if n := server.Len(); n != 2 {
		t.Errorf("%d copies after two looks, want the 2 on record", n)
	}
	if err := post(t, replica, DropPath, PromiseRequest{Group: 1, Epoch: 1, Writer: "a"}, &BatchResponse{}); err != nil || server.Len() != 1 {
		t.Errorf("dropped by its writer: %v, %d copies", err, server.Len())
	}
}

// Guards against a record that counts before it is at as many holders as are asked for, against a slow holder that delays
// what counts, and against stamps that are taken for another clock's.
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
	behindProxy := func(replica state.Replica, delay func() bool) state.Replica { // a network that holds calls up
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
	}, func(*state.FencedError) { t.Error("sealed") })
	defer stream.Close()
	defer close(unblock)
	stream.SetReplicas(1, 2, set)
	waitFor := func(what string, ok func(Status) bool) {
		t.Helper()
		for end := time.After(10 * time.Second); !ok(stream.Status()); {
			select {
			case <-progress:
			case <-end:
				t.Fatalf("%s does not come about: %+v", what, stream.Status())
			}
		}
	}
	waitFor("enough holders", func(status Status) bool { return !status.UnderReplicated })
	for i := range 50 {
		records = append(records, acceptedRecord(fmt.Sprint("m", i), 100))
	}
	next := stream.Append(true, records...)
	waitFor("that records count though one holder is silent", func(status Status) bool { return status.Committed == next })
	blocked.Store(true)
	delay := stream.Append(true, acceptedRecord("late", 100))
	time.Sleep(50 * time.Millisecond)
	if status := stream.Status(); status.Committed >= delay {
		t.Errorf("a record counts that one holder of three has, where two are asked for: %+v", status)
	}
}

// Guards against a take-over that goes on with less than what counted: it asks until as many have answered as it takes, and
// takes the newest copy of them.
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
		t.Errorf("with one of two silent: %v, want who is missing", err)
	}
	if _, err = FindNewestCopy(context.Background(), http.DefaultClient, PromiseRequest{Group: 1, Epoch: 1, Writer: "a"}, sets); !errors.As(err, new(*state.FencedError)) {
		t.Errorf("a writer that another has followed: %v, want sealed", err)
	}
}

// FuzzHolder has any bytes come as a call.
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
