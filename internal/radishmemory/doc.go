// Package radishmemory accounts for the memory that the calls of a VM hold, and decides which calls get no more. It protects
// the VM from callers that send many large bodies at the same time, stop before the end of a body, or do not read their responses;
// TestReplayCrowd replays that load. It has no input, output or clock.
package radishmemory
