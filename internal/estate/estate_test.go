package estate

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

	"larchrouter/internal/estate/state"
	"larchrouter/internal/journal"
)

// serving is a holder that runs, as the keepers would name it.
func serving(t testing.TB, dir string, disk int64) (*Holder, state.Holder) {
	t.Helper()
	h, err := OpenHolder(dir, disk)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.Serve(l)
	t.Cleanup(h.Close)
	return h, state.Holder{Name: filepath.Base(dir), Addr: l.Addr().String(), Folder: h.Folder}
}

func taken(id string, n int) journal.Record {
	return journal.Record{Op: journal.OpAccepted, Entry: &journal.Entry{ID: id, Class: "order", Due: time.Now().Add(time.Hour).UnixMilli(), Body: bytes.Repeat([]byte("b"), n), Group: 1}}
}

func post(t testing.TB, h state.Holder, path string, in, out any) error {
	t.Helper()
	stamped, ok := out.(interface{ stamp() Stamp })
	if !ok {
		t.Fatalf("%T is no answer", out)
	}
	_, _, err := call(context.Background(), http.DefaultClient, h, path, in, stamped, unixMilli)
	return err
}

func ids(recs []journal.Record) (all []string) {
	for _, r := range recs {
		if r.Entry != nil {
			all = append(all, r.Entry.ID)
		}
	}
	return all
}

// Guards against a holder that forgets what it confirmed or whom it promised itself to, across its own processes, and against
// one that takes records of a writer that another has followed.
func TestHolderKeepsItsWord(t *testing.T) {
	dir := t.TempDir()
	h, at := serving(t, dir, 1<<23)
	var got Taken
	if err := post(t, at, CopyPath, Batch{Estate: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{taken("m1", 5)}}, &got); !errors.As(err, new(*state.Behind)) {
		t.Errorf("records before the whole: %v, want that it lacks what comes before", err)
	}
	if err := post(t, at, CopyPath, Batch{Estate: 1, Epoch: 1, Writer: "a", First: 1, Whole: true, Records: []journal.Record{taken("m0", 5)}}, &got); err != nil {
		t.Fatal(err)
	}
	for range 2 { // what comes twice counts once
		batch := Batch{Estate: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{taken("m1", 5), {Op: journal.OpTry, ID: "m1", WaitMs: 50}}}
		if err := post(t, at, CopyPath, batch, &got); err != nil || got.Next != 3 {
			t.Fatalf("next %d, %v, want 3", got.Next, err)
		}
	}
	if err := post(t, at, PromisePath, Promise{Estate: 1, Epoch: 2, Writer: "b"}, &Promised{}); err != nil {
		t.Fatal(err)
	}
	h.Close()
	_, at = serving(t, dir, 1<<23)
	err := post(t, at, CopyPath, Batch{Estate: 1, Epoch: 1, Writer: "a", First: 3, Records: []journal.Record{taken("m2", 5)}}, &got)
	var sealed *state.Sealed
	if !errors.As(err, &sealed) || sealed.Writer != "b" {
		t.Errorf("the writer before, after a restart: %v, want sealed by b", err)
	}
	var p Promised
	if err := post(t, at, PromisePath, Promise{Estate: 1, Epoch: 2, Writer: "b", Want: true}, &p); err != nil {
		t.Fatal(err)
	}
	if got := ids(p.Records); p.Next != 3 || p.From != "a" || fmt.Sprint(got) != "[m0 m1]" || p.Records[1].Entry.Tries != 1 {
		t.Errorf("it has %v up to %d by %s", got, p.Next, p.From)
	}
	other := at
	other.Folder = "another"
	if err := post(t, other, PromisePath, Promise{Estate: 1, Epoch: 2, Writer: "b", Want: true}, &p); !errors.As(err, new(*Forgot)) {
		t.Errorf("a holder whose folder is another: %v, want that it has forgotten", err)
	}
}

// Guards against input that ends a holder or changes what it has: calls cut at any byte, of another shape, too long, and
// records that are none of an estate.
func TestHolderBearsAnyInput(t *testing.T) {
	h, at := serving(t, t.TempDir(), 1<<23)
	if err := post(t, at, CopyPath, Batch{Estate: 1, Epoch: 1, Writer: "a", First: 1, Whole: true, Records: []journal.Record{taken("m0", 5)}}, &Taken{}); err != nil {
		t.Fatal(err)
	}
	whole, err := json.Marshal(Batch{Estate: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{taken("m1", 5)}})
	if err != nil {
		t.Fatal(err)
	}
	try := func(path string, body []byte) {
		resp, err := http.Post("http://"+at.Addr+path, "application/json", bytes.NewReader(body))
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
		try(CopyPath, whole[:n])
	}
	for _, path := range []string{CopyPath, PromisePath, DropPath} {
		try(path, []byte(`[]`))
		try(path, bytes.Repeat([]byte("["), bodyMost+2))
	}
	for _, b := range []Batch{{}, {Estate: 1, Epoch: 1, Writer: strings.Repeat("w", nameMost+1)}, {Estate: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{{Op: journal.OpAccepted}}},
		{Estate: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{{Op: journal.OpGroupState, GroupState: &journal.GroupState{Group: 9}}}},
		{Estate: 1, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{{Op: journal.OpGroupNext, Group: 1, NextRecord: 99}}},
		{Estate: 2, Epoch: 1, Writer: "a", First: 1, Records: []journal.Record{taken("m9", 1)}}, {Estate: 1, Epoch: 1, Writer: "a", First: 0}, {Estate: 1, Writer: "a"}} {
		data, _ := json.Marshal(b)
		try(CopyPath, data)
	}
	var p Promised
	if err := post(t, at, PromisePath, Promise{Estate: 1, Epoch: 1, Writer: "a", Want: true}, &p); err != nil || p.Next != 1 || len(p.Records) != 1 {
		t.Errorf("after all that it has %d records up to %d, %v", len(p.Records), p.Next, err)
	}
	if n := h.Len(); n > 2 {
		t.Errorf("%d copies came about", n)
	}
}

// Guards against a holder that confirms what it could not write, and one that passes a damaged copy on as whole.
func TestHolderDisk(t *testing.T) {
	dir := t.TempDir()
	h, at := serving(t, dir, partsOf*(200<<10))
	var got Taken
	if err := post(t, at, CopyPath, Batch{Estate: 1, Epoch: 1, Writer: "a", First: 1, Whole: true}, &got); err != nil {
		t.Fatal(err)
	}
	n := uint64(1)
	var err error
	for ; err == nil && n < 40; n++ {
		err = post(t, at, CopyPath, Batch{Estate: 1, Epoch: 1, Writer: "a", First: n, Records: []journal.Record{taken(fmt.Sprint("m", n), 8<<10)}}, &got)
	}
	var refused *Refused
	if !errors.As(err, &refused) || refused.Status != http.StatusInsufficientStorage || refused.Remedy() == "" {
		t.Fatalf("after %d records: %v, want that its disk is full", n, err)
	}
	full := got.Next
	var p Promised
	if err := post(t, at, PromisePath, Promise{Estate: 1, Epoch: 1, Writer: "a", Want: true}, &p); err != nil || p.Next != full || len(p.Records) != int(full-1) {
		t.Errorf("it has %d records up to %d (%v), want those it confirmed, up to %d", len(p.Records), p.Next, err, full)
	}
	h.Close()
	path := filepath.Join(dir, "copies", "1", "journal")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 1
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	_, at = serving(t, dir, partsOf*(200<<10))
	p = Promised{}
	if err := post(t, at, PromisePath, Promise{Estate: 1, Epoch: 1, Writer: "a", Want: true}, &p); err != nil || p.From != "" {
		t.Errorf("a damaged copy passes for one by %q up to %d, %v", p.From, p.Next, err)
	}
}

// Guards against copies that stay for ever, and against one that goes as its writer begins.
func TestCopiesOfNoUseGo(t *testing.T) {
	h, at := serving(t, t.TempDir(), 1<<23)
	for id := range uint64(partsOf) {
		if err := post(t, at, CopyPath, Batch{Estate: id + 1, Epoch: 1, Writer: "a", First: 1, Whole: true}, &Taken{}); err != nil {
			t.Fatal(err)
		}
	}
	if err := post(t, at, CopyPath, Batch{Estate: 99, Epoch: 1, Writer: "a", First: 1, Whole: true}, &Taken{}); err == nil {
		t.Error("it takes more copies than its disk is for")
	}
	h.Sweep([]uint64{1, 2})
	if n := h.Len(); n != partsOf {
		t.Errorf("%d copies after one look, want all %d", n, partsOf)
	}
	h.Sweep([]uint64{1, 2})
	if n := h.Len(); n != 2 {
		t.Errorf("%d copies after two looks, want the 2 on record", n)
	}
	if err := post(t, at, DropPath, Promise{Estate: 1, Epoch: 1, Writer: "a"}, &Taken{}); err != nil || h.Len() != 1 {
		t.Errorf("dropped by its writer: %v, %d copies", err, h.Len())
	}
}

// Guards against a record that counts before it is at as many holders as are asked for, against a slow holder that delays
// what counts, and against stamps that are taken for another clock's.
func TestStreamCounts(t *testing.T) {
	slow := make(chan struct{})
	var shut atomic.Bool
	var hs []state.Holder
	for i := range 3 {
		dir := filepath.Join(t.TempDir(), fmt.Sprint("h", i))
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		_, at := serving(t, dir, 1<<23)
		hs = append(hs, at)
	}
	front := func(h state.Holder, held func() bool) state.Holder { // a network that holds calls up
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		target := h.Addr
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if held() {
				<-slow
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
		go s.Serve(l)
		t.Cleanup(func() { s.Close() })
		h.Addr = l.Addr().String()
		return h
	}
	set := []state.Holder{hs[0], front(hs[1], shut.Load), front(hs[2], func() bool { return true })}
	news := make(chan struct{}, 1)
	var recs []journal.Record
	var s *Stream
	s = NewStream(1, "w", 1, http.DefaultClient, func(context.Context) ([]journal.Record, uint64, bool) { return nil, 1, true }, func() {
		select {
		case news <- struct{}{}:
		default:
		}
	}, func(*state.Sealed) { t.Error("sealed") })
	defer s.Close()
	defer close(slow)
	s.Set(1, 2, set)
	until := func(what string, ok func(Standing) bool) {
		t.Helper()
		for end := time.After(10 * time.Second); !ok(s.Standing()); {
			select {
			case <-news:
			case <-end:
				t.Fatalf("%s does not come about: %+v", what, s.Standing())
			}
		}
	}
	until("enough holders", func(st Standing) bool { return !st.Short })
	for i := range 50 {
		recs = append(recs, taken(fmt.Sprint("m", i), 100))
	}
	next := s.Append(true, recs...)
	until("that records count though one holder is silent", func(st Standing) bool { return st.Counted == next })
	shut.Store(true)
	held := s.Append(true, taken("late", 100))
	time.Sleep(50 * time.Millisecond)
	if st := s.Standing(); st.Counted >= held {
		t.Errorf("a record counts that one holder of three has, where two are asked for: %+v", st)
	}
}

// Guards against a take-over that goes on with less than what counted: it asks until as many have answered as it takes, and
// takes the newest copy of them.
func TestFindWaitsForEnough(t *testing.T) {
	var hs []state.Holder
	for i := range 3 {
		_, at := serving(t, filepath.Join(t.TempDir(), fmt.Sprint("h", i)), 1<<23)
		hs = append(hs, at)
	}
	for i, h := range hs[:2] {
		b := Batch{Estate: 1, Epoch: 1, Writer: "a", First: uint64(1 + i), Whole: true, Records: []journal.Record{taken("m0", 1), taken("m1", 1)}[:1+i]}
		if err := post(t, h, CopyPath, b, &Taken{}); err != nil {
			t.Fatal(err)
		}
	}
	sets := []state.Set{{Copies: 2, Holders: hs}}
	p := Promise{Estate: 1, Epoch: 2, Writer: "b"}
	found, err := Find(context.Background(), http.DefaultClient, p, sets)
	if err != nil || found == nil || found.Next != 2 || fmt.Sprint(ids(found.Records)) != "[m0 m1]" {
		t.Fatalf("found %+v, %v", found, err)
	}
	gone := state.Holder{Name: "gone", Addr: "127.0.0.1:1", Folder: "x"}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err = Find(ctx, http.DefaultClient, Promise{Estate: 1, Epoch: 3, Writer: "c"}, []state.Set{{Copies: 1, Holders: []state.Holder{hs[0], gone}}})
	var unfound *Unfound
	if !errors.As(err, &unfound) || !strings.Contains(unfound.Error(), "gone") || unfound.Remedy() == "" {
		t.Errorf("with one of two silent: %v, want who is missing", err)
	}
	if _, err = Find(context.Background(), http.DefaultClient, Promise{Estate: 1, Epoch: 1, Writer: "a"}, sets); !errors.As(err, new(*state.Sealed)) {
		t.Errorf("a writer that another has followed: %v, want sealed", err)
	}
}

// FuzzHolder has any bytes come as a call.
func FuzzHolder(f *testing.F) {
	for _, s := range []string{`{}`, `{"estate":1,"epoch":1,"writer":"a","first":1,"whole":true,"records":[{"op":"taken","e":{"id":"m","estate":1}}]}`, `{"estate":1,"epoch":18446744073709551615,"writer":"a","first":18446744073709551615,"records":[{"op":"try","i":"m"}]}`} {
		f.Add([]byte(s))
	}
	_, at := serving(f, f.TempDir(), 1<<23)
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{CopyPath, PromisePath, DropPath} {
			resp, err := http.Post("http://"+at.Addr+path, "application/json", bytes.NewReader(body))
			if err != nil {
				t.Fatalf("%q: %v", body, err)
			}
			resp.Body.Close()
		}
	})
}
