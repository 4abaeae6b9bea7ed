package radishclaim

import "context"

// Writer carries out ops on claim objects.
type Writer interface {
	// Write carries out the ops on the object and returns the records that stand afterwards, in order; an error
	// means that it is not known which ops were carried out.
	Write(ctx context.Context, object string, ops []Op) ([]Record, error)
}

// HomeWriter sends ops to the VM that batches for their object and writes them itself when that VM does not
// answer: a dead home costs latency and never correctness. Set the exported fields before first use.
type HomeWriter struct {
	Local Writer
	// Home returns the name of the VM that batches for the object, or "" for this VM.
	Home func(object string) string
	// Send passes ops to another VM's local writer.
	Send func(ctx context.Context, vm, object string, ops []Op) ([]Record, error)
}

// Write implements Writer.
func (w *HomeWriter) Write(ctx context.Context, object string, ops []Op) ([]Record, error) {
	home := w.Home(object)
	if home == "" {
		return w.Local.Write(ctx, object, ops)
	}
	records, err := w.Send(ctx, home, object, ops)
	if err == nil && len(records) == len(ops) {
		return records, nil
	}
	return w.Local.Write(ctx, object, ops)
}
