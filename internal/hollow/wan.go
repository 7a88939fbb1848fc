package hollow

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
)

// Keeper is where a keeper is.
type Keeper struct {
	Region int    `json:"region"`
	Front  string `json:"front"` // that all are told
	HTTP   string `json:"http"`  // its own
}

// Distance is between two regions, one way.
type Distance struct {
	Delay  time.Duration `json:"delay"`
	Spread time.Duration `json:"spread"` // by chance as much as this longer
	Lost   float64       `json:"lost"`   // share of pieces that TCP has to send again
}

// resentLeast is the least time after which Linux sends again what was not confirmed (TCP_RTO_MIN).
const resentLeast = 200 * time.Millisecond

// WAN is the network between regions as one process sees it. Parties in one region have no distance.
type WAN struct {
	Net       *link.Net
	Keepers   []Keeper
	Distances [][]Distance // by the two regions
	bytes     atomic.Int64
}

// NewWAN is a network without connections.
func NewWAN(keepers []Keeper, distances [][]Distance) *WAN {
	w := &WAN{Net: link.NewNet(history.NewClock()), Keepers: keepers, Distances: distances}
	for r := range distances {
		for i, k := range keepers {
			w.Apart(w.Net.Link(party(r), name(i)), r, k.Region)
		}
	}
	return w
}

// party is a region's members, as links know them; name is the nth keeper.
func party(region int) string { return fmt.Sprintf("region/%d", region) }
func name(keeper int) string  { return fmt.Sprintf("keeper/%d", keeper) }

// Apart puts the distance of two regions on a link between them.
func (w *WAN) Apart(l *link.Link, a, b int) {
	d := w.Distances[a][b]
	if a == b || d == (Distance{}) {
		return
	}
	f := &link.Faults{Delay: d.Delay, Jitter: d.Spread, RetransmitShare: d.Lost, RetransmitDelay: max(resentLeast, 2*d.Delay+d.Spread)}
	l.SetNamed("distance", f, f)
}

// Cut cuts a region off from the others, or mends it.
func (w *WAN) Cut(region int, on bool) {
	for r := range w.Distances {
		for i, k := range w.Keepers {
			if (r == region) != (k.Region == region) {
				Sever(w.Net.Link(party(r), name(i)), on)
			}
		}
	}
}

// Sever cuts a link, or mends it.
func Sever(l *link.Link, on bool) {
	if !on {
		l.SetNamed("cut", nil, nil)
		return
	}
	f := &link.Faults{Cut: true}
	l.SetNamed("cut", f, f)
}

// Bytes is what has been read and written by connections that were opened from here.
func (w *WAN) Bytes() int64 { return w.bytes.Load() }

// Dial opens a connection from a region to a keeper, by the address that all are told.
func (w *WAN) Dial(region int) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		for i, k := range w.Keepers {
			if k.Front != addr {
				continue
			}
			select { // the kernel's handshake knows no distance
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(2 * w.Distances[region][k.Region].Delay):
			}
			c, err := w.Net.Dial(ctx, party(region), name(i), "", k.HTTP)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c, wan: w}, nil
		}
		return nil, fmt.Errorf("no keeper is at %s", addr)
	}
}

// conn is one end of a link's connection as net/http wants it.
type conn struct {
	*link.Conn
	wan *WAN
}

// Read reads what came through.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wan.bytes.Add(int64(n))
	return n, err
}

// Write sends bytes on their way.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wan.bytes.Add(int64(n))
	return n, err
}

// Close ends the connection here at once; a cut keeps the other end from hearing of it.
func (c *conn) Close() error {
	c.Conn.SetReadDeadline(time.Now())
	return c.Conn.Close()
}

// LocalAddr is of no interest, and has to be there.
func (c *conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr likewise.
func (c *conn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline is not used by net/http's client.
func (c *conn) SetDeadline(t time.Time) error { return c.Conn.SetReadDeadline(t) }

// SetWriteDeadline is not used either: what is written goes into the link's memory.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
