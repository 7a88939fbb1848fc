package hollow

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"larchrouter/internal/keeper/api"
	"larchrouter/internal/lab/link"
	"larchrouter/internal/lab/proc"
)

// keeperRegions gives the region of each keeper, by the number of keepers.
var keeperRegions = map[int][]int{1: {0}, 3: {0, 1, 2}, 5: {0, 0, 1, 1, 2}}

// keepers runs the processes of cmd/larchkeeper and the network between them.
type keepers struct {
	t              testing.TB
	wan            *WAN
	processes      []*proc.Process
	killedCPU      []time.Duration // processor time of killed processes, by keeper
	killedIOBytes  []int64         // bytes read and written by killed processes, by keeper
	dir            string
	bin            string       // path of the keeper program
	client         *api.Client  // the operators' client
	operatorRegion atomic.Int64 // region from which the operators call
}

// newKeepers starts n keepers, each at a loopback address of its own, which others reach through links.
func newKeepers(t testing.TB, dir string, n int, lease time.Duration, paths [][]Path) *keepers {
	t.Helper()
	k := &keepers{t: t, dir: dir, processes: make([]*proc.Process, n), killedCPU: make([]time.Duration, n), killedIOBytes: make([]int64, n)}
	if k.bin = *flagKeeperProgram; k.bin == "" {
		k.bin = filepath.Join(dir, "larchkeeper")
		if out, err := exec.Command("go", "build", "-o", k.bin, "larchrouter/cmd/larchkeeper").CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
	}
	var all []Keeper
	for i, r := range keeperRegions[n] {
		all = append(all, Keeper{Region: r, ListenAddr: k.ip(i) + ":7400"})
	}
	k.wan = NewWAN(all, paths)
	t.Cleanup(k.wan.Net.Close)
	var mu sync.Mutex
	sharedByIP := map[string]*link.SharedFront{}
	findShared := func(ip string) *link.SharedFront {
		mu.Lock()
		defer mu.Unlock()
		return sharedByIP[ip]
	}
	share := func(i, port int) *link.SharedFront {
		s, err := k.wan.Net.ShareProcess(keeperName(i), k.ip(i), fmt.Sprintf("%s:%d", k.ip(i), port), findShared)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		return s
	}
	type peer struct {
		Name string `toml:"name"`
		HTTP string `toml:"http"`
		Raft string `toml:"raft"`
	}
	var peers []peer
	for i := range all {
		frontLink := share(i, 7400)
		mu.Lock()
		sharedByIP[k.ip(i)], all[i].PublicAddr = frontLink, frontLink.Addr
		mu.Unlock()
		peers = append(peers, peer{keeperName(i), frontLink.Addr, share(i, 7600).Addr})
	}
	for i := range all {
		for j := range all {
			if i != j {
				k.wan.ApplyPath(k.wan.Net.Link(keeperName(i), keeperName(j)), all[i].Region, all[j].Region)
			}
		}
		data, err := toml.Marshal(map[string]any{"name": keeperName(i), "http": all[i].ListenAddr, "raft": k.ip(i) + ":7600", "source": k.ip(i),
			"dir": filepath.Join(dir, fmt.Sprint("state-", i)), "lease": lease.String(), "election": flagElectionTimeout.String(), "peer": peers})
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(k.config(i), data, 0o644); err != nil {
			t.Fatal(err)
		}
		k.start(i)
	}
	k.client = &api.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return k.wan.Dial(int(k.operatorRegion.Load()))(ctx, network, addr)
		}}}}
	for _, a := range all {
		k.client.Keepers = append(k.client.Keepers, a.PublicAddr)
	}
	t.Cleanup(func() {
		for _, p := range k.processes {
			p.Kill()
		}
	})
	return k
}

// ip returns a keeper's loopback address, derived from the process id so that concurrent runs do not share addresses.
func (k *keepers) ip(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8%64, 1+os.Getpid()&0xff%250, 10+i)
}

// config returns the path of a keeper's configuration file.
func (k *keepers) config(i int) string { return filepath.Join(k.dir, fmt.Sprintf("keeper-%d.toml", i)) }

func (k *keepers) start(i int) {
	k.t.Helper()
	p, err := proc.Start(proc.Spec{Name: keeperName(i), Command: fmt.Sprintf("exec %s --config %s", k.bin, k.config(i)),
		Dir: k.dir, Log: filepath.Join(k.dir, fmt.Sprintf("keeper-%d.log", i))}, func(p *proc.Process) {
		if !p.Expected() {
			k.t.Errorf("%s ended: %v", p.Name, p.Err())
		}
	})
	if err != nil {
		k.t.Fatal(err)
	}
	k.processes[i] = p
}

// kill kills a keeper's process without warning, as the loss of its machine would.
func (k *keepers) kill(i int) {
	if u, err := k.processes[i].Usage(); err == nil {
		k.killedCPU[i] += u.CPU
		k.killedIOBytes[i] += transferred(k.processes[i].PID)
	}
	k.processes[i].Signal(syscall.SIGKILL, true)
	<-k.processes[i].Done()
}

// setCut cuts a region's keepers and operators off from the other regions, or ends that cut.
func (k *keepers) setCut(region int, cut bool) {
	k.wan.SetCut(region, cut)
	for i, a := range k.wan.Keepers {
		for j, b := range k.wan.Keepers {
			if (a.Region == region) != (b.Region == region) {
				SetLinkCut(k.wan.Net.Link(keeperName(i), keeperName(j)), cut)
			}
		}
	}
}

// waitForLeader returns the index of the leading keeper; it waits up to a minute for one.
func (k *keepers) waitForLeader() int {
	k.t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, a := range k.wan.Keepers {
			var st api.Status
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			err := k.client.CallKeeper(ctx, a.PublicAddr, http.MethodGet, api.StatusPath, nil, &st)
			cancel()
			if err == nil && st.IsLeader {
				return i
			}
		}
	}
	k.t.Fatal("no keeper became leader within a minute")
	return 0
}

// countElections counts how often a keeper became leader, by the lines that the keepers log.
func (k *keepers) countElections() (n int) {
	for i := range k.processes {
		data, err := os.ReadFile(filepath.Join(k.dir, fmt.Sprintf("keeper-%d.log", i)))
		if err != nil {
			k.t.Error(err)
		}
		n += strings.Count(string(data), "INFO leads\n")
	}
	return n
}
