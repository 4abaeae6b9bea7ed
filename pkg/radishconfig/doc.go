// Package radishconfig stores accepted rules in the platform's object API and applies the newest ones on each VM.
// A configuration is accepted by one conditional update of a head object that references content-addressed shards.
// A VM only ever moves to a higher generation, regardless of where it received the configuration from.
package radishconfig
