package radishconn

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// WithConn is the ConnContext function of an HTTP server: requests of the connection can find it by [ConnOf].
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request, or nil if it is not a *Conn.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Handler returns a handler that ends the heads of requests before it calls the next one.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := ConnOf(r.Context()); c != nil {
			c.EndHead()
		}
		next.ServeHTTP(w, r)
	})
}
