// Package radishdial configures TCP dialers and listeners whose connections fail within seconds when the peer stops
// responding.
package radishdial
