// Package radishmetric contains the OpenTelemetry instruments of an entry VM and exports them in the Prometheus text
// format.
package radishmetric
