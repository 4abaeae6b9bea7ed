// Package radishengine estimates the time that an engine takes from receiving a request to the first event of its stream.
// Engines differ in speed, slow down under load and keep shared parts of prompts, so a fixed rate misjudges most of them. At a
// rate that is too slow, calls with a short latency objective look late while they are still in time: under load their stages
// are refused, or run after those of calls that have more time.
package radishengine
