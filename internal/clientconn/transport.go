package clientconn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport that uses a Conn for each connection.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that makes its calls as base does. Base has a DialContext, and is not used otherwise.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return New(conn, 0), nil
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			conn.markStart()
		}
	}}
	return t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}
