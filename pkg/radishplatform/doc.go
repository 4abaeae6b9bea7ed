// Package radishplatform is the client of the platform's object API over HTTP: versions, conditional updates,
// long-poll watches and the list of VMs, under a rate limit for calls.
//
// The API as published by the platform:
//
//	GET    /v1/objects/KEY                     value, header Object-Version; 404 when absent
//	GET    /v1/objects/KEY?after=V&wait_ms=W   the same once the version is above V; 304 when W passes first
//	PUT    /v1/objects/KEY   If-Match: V       conditional update (0: create); 412 on another version
//	DELETE /v1/objects/KEY   If-Match: V       conditional delete; 412 on another version
//	GET    /v1/keys?prefix=P                   JSON list of keys
//	GET    /v1/vms                             JSON list of live and leaving VMs
package radishplatform
