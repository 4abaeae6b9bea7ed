package radish

// The built-in stage kinds; "call" is a plain request to a service.
func init() {
	StageKinds.Register("encode", StageKind{Name: "encode", Path: "/v1/encode"})
	StageKinds.Register("retrieve", StageKind{Name: "retrieve", Path: "/v1/retrieve"})
	StageKinds.Register("rerank", StageKind{Name: "rerank", Path: "/v1/rerank"})
	StageKinds.Register("generate", StageKind{Name: "generate", Path: "/v1/generate", Streams: true})
	StageKinds.Register("call", StageKind{Name: "call", Path: "/v1/call"})
}
