package radish

import "time"

// Site is what the platform tells an entry VM of itself and of the place where it runs.
type Site struct {
	VM         string
	DataCentre string
	// CallerAddress, ReadyAddress and PeerAddress are IP:PORT; PeerAddress is also what Seeds hold of other VMs.
	CallerAddress string
	ReadyAddress  string
	PeerAddress   string
	Seeds         []string
	// DataCentres are all data centres of the deployment.
	DataCentres  []string
	StoreAddress string
	MemoryMB     int
	// Cores is how much of a processor the VM may use; 0 when it is not known.
	Cores float64
	// ShutdownGrace is the time between the order to stop and the kill.
	ShutdownGrace time.Duration
	// RetryShare and RetrySlack bound the repeats of all VMs in each RetryWindow.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdFactor and ColdSlack turn a service's cold rate into the bound of all VMs in one second.
	ColdFactor float64
	ColdSlack  float64
}
