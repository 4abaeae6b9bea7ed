// Package radishdial opens TCP connections on which a peer that has fallen silent is noticed within seconds.
package radishdial
