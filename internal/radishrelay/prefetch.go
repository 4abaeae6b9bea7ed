package radishrelay

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"radishramp.example/radishramp/pkg/radish"
)

// maxHeldBytes limits what is held of each of two responses until one of them is chosen. A response of that length counts as usable
// before it is complete.
const maxHeldBytes = 64 << 10

// heldBody is a body of which the beginning has been read.
type heldBody struct {
	io.Reader
	io.Closer
}

// failedReader fails with its error.
type failedReader struct{ err error }

func (r failedReader) Read([]byte) (int, error) { return 0, r.err }

// awaitUsable reads the response until it is complete, or until the first event of a stream is, and holds what it has read in the body. It
// returns the error with which the response ended before that.
func awaitUsable(resp *radish.TargetResponse) error {
	if resp.NotExecuted || resp.InputsMissing {
		return nil
	}
	held := &bytes.Buffer{}
	reader := io.TeeReader(io.LimitReader(resp.Body, maxHeldBytes), held)
	var err error
	if resp.IsStream && resp.Status/100 == 2 {
		err = awaitEvent(reader)
	} else {
		_, err = io.Copy(io.Discard, reader)
	}
	if held.Len() == maxHeldBytes {
		err = nil
	}
	rest := io.Reader(resp.Body)
	if err != nil {
		rest = failedReader{err}
	}
	resp.Body = heldBody{io.MultiReader(held, rest), resp.Body}
	return err
}

// awaitEvent reads the first event of a stream. A stream that ends without one is complete.
func awaitEvent(r io.Reader) error {
	event, _, err := (&eventReader{Reader: bufio.NewReader(r)}).next()
	if errors.Is(err, io.EOF) && len(event) > 0 {
		return io.ErrUnexpectedEOF
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
