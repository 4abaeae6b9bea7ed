package radish

import "time"

// PlatformSettings holds the settings that the platform gives an entry VM: its identity, addresses and
// resources, and the limits of the whole deployment.
type PlatformSettings struct {
	VM         string
	DataCentre string
	// CallerAddress, ReadyAddress and PeerAddress are the listen addresses, as IP:PORT, for callers, readiness probes
	// and other entry VMs. Seeds holds the peer addresses of other VMs.
	CallerAddress string
	ReadyAddress  string
	PeerAddress   string
	Seeds         []string
	// DataCentres lists all data centres of the deployment.
	DataCentres  []string
	StoreAddress string
	MemoryMB     int
	// MaxFDs is the limit on the file descriptors of the process; 0 means unknown.
	MaxFDs int
	// Cores is the VM's CPU limit, in cores; 0 means unknown.
	Cores float64
	// ShutdownGrace is the time between the termination signal and the forced kill.
	ShutdownGrace time.Duration
	// The limit on retries of all VMs together: the ratio of retries to calls, the number of retries allowed on top of it,
	// and the window to which the limit applies.
	RetryBudgetRatio  float64
	RetryBudgetBurst  float64
	RetryBudgetWindow time.Duration
	// The limit on attempts per second that all VMs together may send to a cold target: the service's cold rate times
	// the first value, plus the second.
	ColdRateFactor    float64
	ColdRateAllowance float64
	// HasExposureLimit is whether the settings limit the exposure of new versions, so that rollouts are in force.
	HasExposureLimit bool
	// The limit on the calls that all VMs together may send to a bad version: the share of the service's calls, plus the slack. After its
	// 50th bad response, calls may be sent to it for RevertWithin.
	ExposureShare float64
	ExposureSlack float64
	RevertWithin  time.Duration
}
