package radishmemory

const (
	// runtimeShare is the limit of the Go runtime as a share of a VM's memory; the rest is for the program's text and the kernel's buffers.
	runtimeShare = 0.6
	// grantShare is the share of a VM's memory that calls may hold, less fixedBytes. The rest is for garbage that is not collected yet.
	grantShare = 0.5
	// fixedBytes is what a VM needs for connections, configuration and the state of targets.
	fixedBytes = 24 << 20
	// minBudgetShare is the least share of a VM's memory that calls may hold, for VMs with little memory.
	minBudgetShare = 0.1
	// bufferShare is the share of a VM's memory for one kernel buffer of each caller's connection. Each call can fill two: one towards its
	// caller and one towards its target.
	bufferShare = 1.0 / 12
	// Limits on the size of one buffer of a connection. A window of 32 kB holds an ordinary request, and larger ones take more memory than
	// most connections use. Responses are held for callers that do not read in two buffers at once, so these may be smaller.
	minRequestBuffer  = 32 << 10
	minResponseBuffer = 16 << 10
	maxBuffer         = 64 << 10
)

// RuntimeLimit returns the memory limit of the Go runtime for a VM with the memory; 0 means no limit.
func RuntimeLimit(memoryMB int) int64 { return int64(runtimeShare * float64(memoryBytes(memoryMB))) }

// Budget returns the bytes that the calls of a VM with the memory may hold; 0 means no limit.
func Budget(memoryMB int) int64 {
	memory := float64(memoryBytes(memoryMB))
	return int64(max(grantShare*memory-fixedBytes, minBudgetShare*memory))
}

// BufferSizes returns the sizes of the kernel's buffers for the requests and for the responses of each of conns callers' connections of a
// VM with the memory; 0 means the kernel's default.
func BufferSizes(memoryMB, conns int) (request, response int) {
	if memoryMB <= 0 || conns <= 0 {
		return 0, 0
	}
	share := min(int(bufferShare*float64(memoryBytes(memoryMB))/float64(conns)), maxBuffer)
	return max(share, minRequestBuffer), max(share, minResponseBuffer)
}

func memoryBytes(memoryMB int) int64 { return int64(memoryMB) << 20 }
