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

// Metrics contains the OpenTelemetry instruments. The methods that record a value do nothing on a nil *Metrics.
type Metrics struct {
	handler        http.Handler
	meter          metric.Meter
	requests       metric.Int64Counter
	requestSeconds metric.Float64Histogram
	attempts       metric.Int64Counter
	cutAttempts    metric.Int64Counter
	retries        metric.Int64Counter
	hedges         metric.Int64Counter
	permits        metric.Int64Counter
	plans          metric.Int64Counter
	callSeconds    metric.Float64Histogram
	callPieces     metric.Int64Histogram
	versionCalls   metric.Int64Counter
	versionErrors  metric.Int64Counter
	drops          metric.Int64Counter

	mu sync.RWMutex
	// options caches the attribute sets of measurements by instrument and attribute values.
	options map[[3]string]metric.MeasurementOption
}

// New creates the instruments and an HTTP handler that exports them in the Prometheus text format.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m := &Metrics{
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		meter:   sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter("radishramp"),
		options: make(map[[3]string]metric.MeasurementOption),
	}
	return m, m.createInstruments()
}

func (m *Metrics) createInstruments() error {
	var errs [13]error
	m.requests, errs[0] = m.meter.Int64Counter("radishramp_requests", metric.WithDescription("Requests by pipeline and outcome."))
	m.requestSeconds, errs[1] = m.meter.Float64Histogram("radishramp_request_seconds",
		metric.WithDescription("Time from a request's arrival to the end of its answer."),
		metric.WithExplicitBucketBoundaries(.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10))
	m.attempts, errs[2] = m.meter.Int64Counter("radishramp_attempts", metric.WithDescription("Attempts by service and result; crossed and cut answers were dropped."))
	m.retries, errs[3] = m.meter.Int64Counter("radishramp_retries", metric.WithDescription("Retries by service."))
	m.permits, errs[4] = m.meter.Int64Counter("radishramp_permits", metric.WithDescription("Permits for cold targets asked for, by result."))
	m.plans, errs[5] = m.meter.Int64Counter("radishramp_plans", metric.WithDescription("Plans of stages at this coordinator by outcome and priority."))
	m.callSeconds, errs[6] = m.meter.Float64Histogram("radishramp_stage_call_seconds", metric.WithDescription("Time of calls to stage targets by service and result."),
		metric.WithExplicitBucketBoundaries(.1, .2, .3, .4, .5, .7, 1, 2, 5))
	m.callPieces, errs[7] = m.meter.Int64Histogram("radishramp_stage_call_pieces", metric.WithDescription("Pieces of calls to stage targets by service."),
		metric.WithExplicitBucketBoundaries(1, 2, 5, 10, 20, 50))
	m.cutAttempts, errs[8] = m.meter.Int64Counter("radishramp_cut_attempts",
		metric.WithDescription("Attempts whose connection ended before the response was complete, by service and state of the target."))
	m.versionCalls, errs[9] = m.meter.Int64Counter("radishramp_version_calls",
		metric.WithDescription("Calls sent to targets, each piece of a stage as one, by service and version."))
	m.versionErrors, errs[10] = m.meter.Int64Counter("radishramp_version_failures",
		metric.WithDescription("Responses that count as failures of the version, by service and version."))
	m.hedges, errs[11] = m.meter.Int64Counter("radishramp_hedges", metric.WithDescription("Copies of slow calls by service and result: sent, answered first, or why denied."))
	m.drops, errs[12] = m.meter.Int64Counter("radishramp_dropped_requests",
		metric.WithDescription("Requests whose head had begun to arrive when their connection was closed without an answer, by cause and how much of the head was read."))
	return trace.NewAggregate(errs[:]...)
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// attributeOption returns the attribute set of a measurement with the given attribute values. Sets are cached because
// creating one allocates memory.
func (m *Metrics) attributeOption(instrument, first, second string) metric.MeasurementOption {
	key := [3]string{instrument, first, second}
	m.mu.RLock()
	option, ok := m.options[key]
	m.mu.RUnlock()
	if ok {
		return option
	}
	names := map[string][2]string{
		"request": {"pipeline", "outcome"},
		"attempt": {"service", "result"},
		"cut":     {"service", "target"},
		"retry":   {"service", ""},
		"hedge":   {"service", "result"},
		"permit":  {"result", ""},
		"plan":    {"outcome", "priority"},
		"call":    {"service", "result"},
		"pieces":  {"service", ""},
		"version": {"service", "version"},
		"drop":    {"cause", "head"},
	}[instrument]
	attributes := []attribute.KeyValue{attribute.String(names[0], first)}
	if names[1] != "" {
		attributes = append(attributes, attribute.String(names[1], second))
	}
	option = metric.WithAttributeSet(attribute.NewSet(attributes...))
	m.mu.Lock()
	m.options[key] = option
	m.mu.Unlock()
	return option
}

// RecordRequest records a finished request and its duration.
func (m *Metrics) RecordRequest(pipeline, outcome string, duration time.Duration) {
	if m == nil {
		return
	}
	option := m.attributeOption("request", pipeline, outcome)
	m.requests.Add(context.Background(), 1, option)
	m.requestSeconds.Record(context.Background(), duration.Seconds(), option)
}

// RecordDrop records a request that was dropped with its connection, for the cause; head is "whole" or "part".
func (m *Metrics) RecordDrop(cause, head string) {
	if m != nil {
		m.drops.Add(context.Background(), 1, m.attributeOption("drop", cause, head))
	}
}

// RecordAttempt records a finished attempt.
func (m *Metrics) RecordAttempt(service, result string) {
	if m != nil {
		m.attempts.Add(context.Background(), 1, m.attributeOption("attempt", service, result))
	}
}

// RecordCutAttempt records an attempt whose connection ended before the response was complete, and whether its target is down.
func (m *Metrics) RecordCutAttempt(service string, isTargetDown bool) {
	if m == nil {
		return
	}
	target := "up"
	if isTargetDown {
		target = "down"
	}
	m.cutAttempts.Add(context.Background(), 1, m.attributeOption("cut", service, target))
}

// RecordRetry records a retry.
func (m *Metrics) RecordRetry(service string) {
	if m != nil {
		m.retries.Add(context.Background(), 1, m.attributeOption("retry", service, ""))
	}
}

// RecordHedge records that a copy of a call was sent, that it responded first, or that it was denied.
func (m *Metrics) RecordHedge(service, result string) {
	if m != nil {
		m.hedges.Add(context.Background(), 1, m.attributeOption("hedge", service, result))
	}
}

// RecordPermitRequest records a request for a permit to use a cold target.
func (m *Metrics) RecordPermitRequest(granted bool) {
	if m == nil {
		return
	}
	result := "refused"
	if granted {
		result = "granted"
	}
	m.permits.Add(context.Background(), 1, m.attributeOption("permit", result, ""))
}

// RecordPlan records the outcome of a plan of stages. The priority is empty if priorities do not compete.
func (m *Metrics) RecordPlan(outcome, priority string) {
	if m != nil {
		m.plans.Add(context.Background(), 1, m.attributeOption("plan", outcome, priority))
	}
}

// RecordStageCall records a call to a target of a stage service, its duration and its number of pieces.
func (m *Metrics) RecordStageCall(service string, duration time.Duration, pieces int, succeeded bool) {
	if m == nil {
		return
	}
	result := "failed"
	if succeeded {
		result = "answered"
	}
	m.callSeconds.Record(context.Background(), duration.Seconds(), m.attributeOption("call", service, result))
	m.callPieces.Record(context.Background(), int64(pieces), m.attributeOption("pieces", service, ""))
}

// RecordVersionCalls records calls that are sent to targets of the version.
func (m *Metrics) RecordVersionCalls(service, version string, calls int) {
	if m != nil {
		m.versionCalls.Add(context.Background(), int64(calls), m.attributeOption("version", service, version))
	}
}

// RecordVersionFailures records responses that count as failures of the version.
func (m *Metrics) RecordVersionFailures(service, version string, failures int) {
	if m != nil && failures > 0 {
		m.versionErrors.Add(context.Background(), int64(failures), m.attributeOption("version", service, version))
	}
}

// RegisterGauge registers a gauge. The read function returns its value and is called at each collection.
func (m *Metrics) RegisterGauge(name, description string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return trace.Wrap(err)
}

// BoolValue returns the gauge value of a condition: 1 for true and 0 for false.
func BoolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
