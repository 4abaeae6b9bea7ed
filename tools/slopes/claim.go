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
	claimInterval = 40 * time.Millisecond
	claimTime     = 4 * time.Second
	outcomeBytes  = 300
	// nonIdempotentShare is the share of requests that are taken to need a claim.
	nonIdempotentShare = 0.01
)

// claimCost is what claims at one rate cost.
type claimCost struct {
	updatesPerSec, cpuPerClaim, latency float64
}

// measureClaims runs claims at several rates through one writer.
func measureClaims() error {
	var updates, cpu, latency []point
	for _, rate := range []int{5, 20, 50, 100, 200} {
		cost, err := claimAt(rate)
		if err != nil {
			return err
		}
		updates = append(updates, point{float64(rate), cost.updatesPerSec})
		cpu = append(cpu, point{float64(rate), cost.cpuPerClaim})
		latency = append(latency, point{float64(rate), cost.latency})
	}
	perDC := futureRequests * nonIdempotentShare / futureDataCentres
	fmt.Printf("slopes: taken that %.0f %% of requests need a claim: %.2f claims/s a data centre\n", nonIdempotentShare*100, perDC)
	show("updates of claim objects by one home", "updates/s", "claims/s", updates[:3], perDC)
	fmt.Printf("slopes: above 50 claims/s batches grow instead: %.1f updates/s at 100, %.1f at 200 claims/s\n", updates[3].value, updates[4].value)
	show("processor time of a claim with its outcome", "ms of a core", "claims/s", cpu, perDC)
	show("mean wait for a claim, platform answering at once", "ms", "claims/s", latency, perDC)
	return nil
}

func claimAt(rate int) (claimCost, error) {
	platform := radishstandin.NewPlatform()
	writer := &radishclaim.BatchWriter{Platform: platform, Interval: claimInterval}
	ledger := &radishclaim.Ledger{Platform: platform, Writer: writer, VM: "vm-1", Window: time.Hour, Log: hclog.NewNullLogger()}
	waits := make(chan time.Duration, rate*int(claimTime/time.Second)+1)
	errs := make(chan error, 1)
	start, n := time.Now(), 0
	cpu := processorTime()
	for ; time.Since(start) < claimTime; n++ {
		go func() {
			began := time.Now()
			key := radishclaim.Key{Team: "roads", Pipeline: "work_order", ID: uuid.Must(uuid.NewV7())}
			claim, err := ledger.Claim(context.Background(), key, "fingerprint")
			if err != nil {
				select {
				case errs <- err:
				default:
				}
				return
			}
			waits <- time.Since(began)
			ledger.Finish(claim, make([]byte, outcomeBytes))
		}()
		time.Sleep(time.Until(start.Add(time.Duration(n+1) * time.Second / time.Duration(rate))))
	}
	time.Sleep(5 * claimInterval)
	ledger.Wait()
	writer.Wait()
	used := processorTime() - cpu
	select {
	case err := <-errs:
		return claimCost{}, err
	default:
	}
	var total time.Duration
	count := len(waits)
	for range count {
		total += <-waits
	}
	updates, _ := writer.Stats()
	return claimCost{
		updatesPerSec: float64(updates) / claimTime.Seconds(),
		cpuPerClaim:   used.Seconds() * 1e3 / float64(n),
		latency:       total.Seconds() * 1e3 / float64(count),
	}, nil
}
