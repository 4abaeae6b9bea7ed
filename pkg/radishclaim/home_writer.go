package radishclaim

import "context"

// Writer applies ops to claim objects.
type Writer interface {
	// Write applies the ops to the object and returns the resulting records, in the order of the ops. After an error
	// it is not known which ops were applied.
	Write(ctx context.Context, object string, ops []Op) ([]Record, error)
}

// ForwardingWriter forwards ops to the VM that batches the updates of their object. It writes them itself if that VM
// does not respond, so a failed VM costs latency but does not affect correctness. The exported fields must be set
// before the first use.
type ForwardingWriter struct {
	Local Writer
	// BatchingVM returns the name of the VM that batches the updates of the object, or "" if it is this VM.
	BatchingVM func(object string) string
	// Forward sends the ops to the local writer of another VM.
	Forward func(ctx context.Context, vm, object string, ops []Op) ([]Record, error)
}

// Write implements Writer.
func (w *ForwardingWriter) Write(ctx context.Context, object string, ops []Op) ([]Record, error) {
	vm := w.BatchingVM(object)
	if vm == "" {
		return w.Local.Write(ctx, object, ops)
	}
	records, err := w.Forward(ctx, vm, object, ops)
	if err == nil && len(records) == len(ops) {
		return records, nil
	}
	return w.Local.Write(ctx, object, ops)
}
