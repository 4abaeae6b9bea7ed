package main

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishstandin"
	"radishramp.example/radishramp/pkg/radishclaim"
)

const (
	batchInterval = 40 * time.Millisecond
	claimDuration = 4 * time.Second
	outcomeBytes  = 300
	// nonIdempotentShare is the assumed share of requests that need a claim.
	nonIdempotentShare = 0.01
)

// claimCost is the measured cost of claims at one rate.
type claimCost struct {
	updatesPerSec, cpuPerClaim, latency float64
}

// measureClaims measures claims at several rates, with one writer.
func measureClaims() error {
	var updates, cpu, latency []point
	for _, rate := range []int{5, 20, 50, 100, 200} {
		cost, err := measureClaimsAtRate(rate)
		if err != nil {
			return err
		}
		updates = append(updates, point{float64(rate), cost.updatesPerSec})
		cpu = append(cpu, point{float64(rate), cost.cpuPerClaim})
		latency = append(latency, point{float64(rate), cost.latency})
	}
	claimsPerDC := projectedRequestsPerSec * nonIdempotentShare / projectedDataCentres
	fmt.Printf("slopes: assuming that %.0f %% of requests need a claim: %.2f claims/s per data centre\n", nonIdempotentShare*100, claimsPerDC)
	reportFit("updates of claim objects by one writer", "updates/s", "claims/s", updates[:3], claimsPerDC)
	fmt.Printf("slopes: above 50 claims/s the batch size grows instead of the update rate: %.1f updates/s at 100, %.1f at 200 claims/s\n",
		updates[3].value, updates[4].value)
	reportFit("CPU time per claim with its outcome", "core ms", "claims/s", cpu, claimsPerDC)
	reportFit("mean latency of a claim, with a platform that responds without delay", "ms", "claims/s", latency, claimsPerDC)
	return nil
}

func measureClaimsAtRate(rate int) (claimCost, error) {
	platform := radishstandin.NewPlatform()
	writer := &radishclaim.BatchWriter{Platform: platform, Interval: batchInterval}
	ledger := &radishclaim.Ledger{Platform: platform, Writer: writer, VM: "vm-1", Window: time.Hour, Log: hclog.NewNullLogger()}
	latencies := make(chan time.Duration, rate*int(claimDuration/time.Second)+1)
	errs := make(chan error, 1)
	start, claims := time.Now(), 0
	cpu := cpuTime()
	for ; time.Since(start) < claimDuration; claims++ {
		go func() {
			requestedAt := time.Now()
			key := radishclaim.Key{Team: "roads", Pipeline: "work_order", ID: uuid.Must(uuid.NewV7())}
			claim, err := ledger.Claim(context.Background(), key, "fingerprint")
			if err != nil {
				select {
				case errs <- err:
				default:
				}
				return
			}
			latencies <- time.Since(requestedAt)
			ledger.Finish(claim, make([]byte, outcomeBytes))
		}()
		time.Sleep(time.Until(start.Add(time.Duration(claims+1) * time.Second / time.Duration(rate))))
	}
	time.Sleep(5 * batchInterval)
	ledger.Wait()
	writer.Wait()
	used := cpuTime() - cpu
	select {
	case err := <-errs:
		return claimCost{}, err
	default:
	}
	var total time.Duration
	count := len(latencies)
	for range count {
		total += <-latencies
	}
	updates, _ := writer.Stats()
	return claimCost{
		updatesPerSec: float64(updates) / claimDuration.Seconds(),
		cpuPerClaim:   used.Seconds() * 1e3 / float64(claims),
		latency:       total.Seconds() * 1e3 / float64(count),
	}, nil
}
