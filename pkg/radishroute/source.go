package radishroute

// Source is a configuration with the entries that the lookup tables of Config leave out, in the operator's order.
type Source struct {
	Config *Config
	// Services holds all services, also those that a later one of the same name replaces.
	Services []*Service
	Teams    []TeamEntry
	// RouteEntries holds one entry for each route of Config.
	RouteEntries []RouteEntry
	// UnknownFields holds the paths of the fields that decoding ignored, in the operator's names.
	UnknownFields []string
	// OwnHeaderBytes is the size of the headers that the protocol itself adds to a call.
	OwnHeaderBytes int
}

// TeamEntry is a team with its API keys.
type TeamEntry struct {
	Name string
	Keys []string
}

// RouteEntry is what decoding changes about a route.
type RouteEntry struct {
	// UnknownKind is the kind as written if it is not known; such a route is taken to be KindAtMostOnce.
	UnknownKind string
	// HasSplit is whether the split was written as such, and not as a single service.
	HasSplit bool
	// UnusedService is the service of a route whose split does not include it.
	UnusedService string
}

// FieldError reports the field of a configuration that cannot be decoded. Path is in the operator's names.
type FieldError struct {
	Path string
	Err  error
}

// Error returns the cause.
func (e *FieldError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }
