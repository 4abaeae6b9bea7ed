// Package radishmetric holds the OpenTelemetry instruments of an entry VM.
package radishmetric
