package relay

import (
	"net"
	"syscall"
	"time"
)

// newDialer returns a dialer whose connections have the given local address, if there is one: on a machine with
// several addresses, partners that identify relays by their address can then tell them apart.
func newDialer(source net.IP, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if source == nil {
		return d
	}
	d.LocalAddr = &net.TCPAddr{IP: source}
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		// Let the system choose the port at connect, not at bind. A port chosen at bind cannot be shared by two
		// connections, not even to different remote addresses.
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipBindAddressNoPort, 1)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}
	return d
}

// ipBindAddressNoPort is Linux's IP_BIND_ADDRESS_NO_PORT (ip(7)), which package syscall does not define.
const ipBindAddressNoPort = 24
