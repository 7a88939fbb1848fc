package loopback

import (
	"net"
	"testing"
)

// Guards against a server that cannot start as its address is in use: another address of the same test was drawn with the
// same port (1 in 527 sets of six on 127.0.0.1), or another process took the port between the draw and its use.
func TestFreeAddressStaysFree(t *testing.T) {
	const addresses = 20_000
	seen := map[string]int{}
	for i := range addresses {
		addr := FreeAddress(t)
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			t.Fatal(err)
		}
		if before, used := seen[host]; used && i-before < hostsPerProcess {
			t.Fatalf("address %d, %s, has the host of address %d", i, addr, before)
		}
		seen[host] = i
		if host == "127.0.0.1" {
			t.Fatalf("%s: the kernel may give its port to any process", addr)
		}
	}
}

// Guards against hosts that are no loopback addresses, for any process id.
func TestHostsOfAnyProcess(t *testing.T) {
	for pid := 1; pid < 1<<22; pid += 37 {
		host := net.ParseIP(hostOf(pid, uint32(pid)))
		if host == nil || host.To4()[1] < firstRange || host.To4()[1] >= firstRange+rangeCount {
			t.Fatalf("process %d has host %v", pid, host)
		}
	}
}
