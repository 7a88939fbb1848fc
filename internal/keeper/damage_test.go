package keeper

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/keeper/api"
	"larchrouter/internal/keeper/state"
	"larchrouter/internal/remedy"
)

// Guards against a damaged log file that ends the process or is accepted with wrong content: truncated or with bytes
// changed anywhere, it leads to an error with advice, or begins with the entry that was written first.
func TestDamagedLog(t *testing.T) {
	cluster := newTestCluster(t, 1, 300*time.Millisecond)
	client := cluster.newClient()
	var made api.ChangeResponse
	for i := range 5 {
		cluster.mustPost(client, api.GenerationsPath, api.Proposal{OperationID: fmt.Sprint(i), Base: uint64(i), Doc: testDocument(3 + i), Who: "test"}, &made)
	}
	cluster.stop(0)
	whole, err := os.ReadFile(filepath.Join(cluster.configs[0].Dir, "log.bolt"))
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 1))
	refused, accepted := 0, 0
	for trial := range 300 {
		data := bytes.Clone(whole)
		if trial%3 == 0 {
			data = data[:1+random.IntN(len(data)-1)]
		} else {
			for range 1 + random.IntN(30) {
				data[random.IntN(len(data))] ^= byte(1 + random.IntN(255))
			}
		}
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "log.bolt"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		opened, err := openStore(dir)
		if err != nil {
			if refused++; !strings.Contains(remedy.Of(err), "empty folder") {
				t.Fatalf("%v: the error has no advice", err)
			}
			continue
		}
		accepted++
		last, err := opened.log.LastIndex()
		if err != nil {
			t.Fatal(err)
		}
		if last > 0 {
			if first, err := opened.log.FirstIndex(); err != nil || first != 1 {
				t.Fatalf("the log begins with entry %d, %v", first, err)
			}
		}
		opened.log.Close()
	}
	if refused < 50 || accepted < 5 {
		t.Errorf("%d files refused, %d accepted: both cases have to occur", refused, accepted)
	}
}

// Guards against a damaged log entry at one keeper, which would then go on with a state that differs from the others'.
func TestDamagedEntryStopsTheKeeper(t *testing.T) {
	machine := newStateMachine()
	data := addChecksum([]byte(`{"join":{"name":"a","instance":"b"}}`))
	data[9] ^= 1
	if r := machine.Apply(logEntry(data)).(state.Result); !errors.Is(r.Err, errDamagedLog) || len(machine.state.Members) != 0 || machine.state.Applied != 0 {
		t.Errorf("%+v, %+v", r, machine.state)
	}
	select {
	case err := <-machine.failed:
		if !errors.Is(err, errDamagedLog) {
			t.Error(err)
		}
	default:
		t.Error("no failure is reported")
	}
	data[9] ^= 1
	if r := machine.Apply(logEntry(data)).(state.Result); r.Err != nil || len(machine.state.Members) != 1 {
		t.Errorf("%+v, %+v", r, machine.state)
	}
}
