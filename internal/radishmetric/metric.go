package radishmetric

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics are the instruments; a nil *Metrics counts nothing.
type Metrics struct {
	handler  http.Handler
	meter    metric.Meter
	requests metric.Int64Counter
	latency  metric.Float64Histogram
	attempts metric.Int64Counter
	retries  metric.Int64Counter
	permits  metric.Int64Counter
	plans    metric.Int64Counter
	calls    metric.Float64Histogram
	pieces   metric.Int64Histogram

	mu   sync.RWMutex
	sets map[[3]string]metric.MeasurementOption
}

// New returns the instruments with a handler that exports them in Prometheus' text format.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m := &Metrics{
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		meter:   sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter("radishramp"),
		sets:    make(map[[3]string]metric.MeasurementOption),
	}
	return m, m.createInstruments()
}

func (m *Metrics) createInstruments() error {
	var errs [8]error
	m.requests, errs[0] = m.meter.Int64Counter("radishramp_requests", metric.WithDescription("Requests by pipeline and outcome."))
	m.latency, errs[1] = m.meter.Float64Histogram("radishramp_request_seconds",
		metric.WithDescription("Time from a request's arrival to the end of its answer."),
		metric.WithExplicitBucketBoundaries(.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10))
	m.attempts, errs[2] = m.meter.Int64Counter("radishramp_attempts", metric.WithDescription("Attempts by service and result; crossed and cut answers were dropped."))
	m.retries, errs[3] = m.meter.Int64Counter("radishramp_retries", metric.WithDescription("Retries by service."))
	m.permits, errs[4] = m.meter.Int64Counter("radishramp_permits", metric.WithDescription("Permits for cold targets asked for, by result."))
	m.plans, errs[5] = m.meter.Int64Counter("radishramp_plans", metric.WithDescription("Plans of stages at this coordinator by outcome."))
	m.calls, errs[6] = m.meter.Float64Histogram("radishramp_stage_call_seconds", metric.WithDescription("Time of calls to stage targets by service and result."),
		metric.WithExplicitBucketBoundaries(.1, .2, .3, .4, .5, .7, 1, 2, 5))
	m.pieces, errs[7] = m.meter.Int64Histogram("radishramp_stage_call_pieces", metric.WithDescription("Pieces of calls to stage targets by service."),
		metric.WithExplicitBucketBoundaries(1, 2, 5, 10, 20, 50))
	return trace.NewAggregate(errs[:]...)
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// set returns the cached attributes of a measurement, since building them allocates.
func (m *Metrics) set(instrument, first, second string) metric.MeasurementOption {
	key := [3]string{instrument, first, second}
	m.mu.RLock()
	option, ok := m.sets[key]
	m.mu.RUnlock()
	if ok {
		return option
	}
	attributes := map[string][2]string{
		"request": {"pipeline", "outcome"},
		"attempt": {"service", "result"},
		"retry":   {"service", ""},
		"permit":  {"result", ""},
		"plan":    {"outcome", ""},
		"call":    {"service", "result"},
		"pieces":  {"service", ""},
	}[instrument]
	list := []attribute.KeyValue{attribute.String(attributes[0], first)}
	if attributes[1] != "" {
		list = append(list, attribute.String(attributes[1], second))
	}
	option = metric.WithAttributeSet(attribute.NewSet(list...))
	m.mu.Lock()
	m.sets[key] = option
	m.mu.Unlock()
	return option
}

// Request counts a finished request.
func (m *Metrics) Request(pipeline, outcome string, took time.Duration) {
	if m == nil {
		return
	}
	option := m.set("request", pipeline, outcome)
	m.requests.Add(context.Background(), 1, option)
	m.latency.Record(context.Background(), took.Seconds(), option)
}

// Attempt counts a finished attempt.
func (m *Metrics) Attempt(service, result string) {
	if m != nil {
		m.attempts.Add(context.Background(), 1, m.set("attempt", service, result))
	}
}

// Retry counts a retry.
func (m *Metrics) Retry(service string) {
	if m != nil {
		m.retries.Add(context.Background(), 1, m.set("retry", service, ""))
	}
}

// Permit counts a request for a permit.
func (m *Metrics) Permit(granted bool) {
	if m == nil {
		return
	}
	result := "refused"
	if granted {
		result = "granted"
	}
	m.permits.Add(context.Background(), 1, m.set("permit", result, ""))
}

// Plan counts a plan of stages.
func (m *Metrics) Plan(outcome string) {
	if m != nil {
		m.plans.Add(context.Background(), 1, m.set("plan", outcome, ""))
	}
}

// StageCall counts a call to a target of a stage service and its pieces.
func (m *Metrics) StageCall(service string, took time.Duration, pieces int, answered bool) {
	if m == nil {
		return
	}
	result := "failed"
	if answered {
		result = "answered"
	}
	m.calls.Record(context.Background(), took.Seconds(), m.set("call", service, result))
	m.pieces.Record(context.Background(), int64(pieces), m.set("pieces", service, ""))
}

// Gauge exports a value that is read at each collection.
func (m *Metrics) Gauge(name, description string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return trace.Wrap(err)
}

// Bool returns 1 for true and 0 for false, as gauges show them.
func Bool(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
