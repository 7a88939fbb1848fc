// Package loopback gives tests addresses for servers that have to know their address before they listen on it.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Second byte of the addresses, 127.N. The kernel's own choice is 127.0.0.1; other programs of this repository use N from 16 upwards.
const (
	firstRange = 8
	rangeCount = 8
)

// hostsPerProcess is the number of IP addresses of one process, 127.N.M.1 to 127.N.M.254.
const hostsPerProcess = 254

// drawn counts the addresses that FreeAddress has returned.
var drawn atomic.Uint32

// FreeAddress returns an address that nobody listens on. It stays free until it is used: no two of the last 254 addresses
// have the same IP address, and neither outgoing connections nor listeners on 127.0.0.1 use any of them.
func FreeAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp4", hostOf(os.Getpid(), drawn.Add(1))+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// hostOf returns the IP address of a process's nth address.
func hostOf(pid int, n uint32) string {
	return fmt.Sprintf("127.%d.%d.%d", firstRange+pid>>8%rangeCount, pid&0xff, 1+n%hostsPerProcess)
}
