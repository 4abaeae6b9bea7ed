// Package radishplatform is a client of the platform's object API over HTTP: versioned objects with conditional updates
// and long-poll watches, and the list of VMs. Calls can be rate limited.
//
// The API as published by the platform:
//
//	GET    /v1/objects/KEY                     value, header Object-Version; 404 if the key does not exist
//	GET    /v1/objects/KEY?after=V&wait_ms=W   the same once the version is above V; 304 if that takes longer than W
//	PUT    /v1/objects/KEY   If-Match: V       conditional update (0: create); 412 if the version differs
//	DELETE /v1/objects/KEY   If-Match: V       conditional delete; 412 if the version differs
//	GET    /v1/keys?prefix=P                   JSON list of keys
//	GET    /v1/vms                             JSON list of live and leaving VMs
package radishplatform
