package relay

import (
	"net"
	"syscall"
	"time"
)

// dialer opens connections, from an address of this machine if one is given: partners that know relays by their
// address can tell them apart on a machine that has several.
func newDialer(source net.IP, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if source == nil {
		return d
	}
	d.LocalAddr = &net.TCPAddr{IP: source}
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		// The port is chosen as the connection is made, not before: else no two could share one, whoever they go to.
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

// ipBindAddressNoPort is Linux's IP_BIND_ADDRESS_NO_PORT (ip(7)), which package syscall does not have.
const ipBindAddressNoPort = 24
