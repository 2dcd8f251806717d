package input

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"
)

// End returns an error if anything but spaces follows what a decoder has read. A decoder of parts
// does not look for it, and encoding/json accepts no such text.
func End(d *jx.Decoder) error {
	// The end of a part of a value is an io.EOF too.
	if d.Next() != jx.Invalid || !errors.Is(d.Skip(), io.EOF) {
		return errors.New("input: data after the value")
	}
	return nil
}
