// Package fault annotates named error results.
package fault

import "github.com/go-faster/errors"

// Annotate adds to an error what was being done; it is meant to be deferred with
// a pointer to a named result, and leaves nil alone.
func Annotate(err *error, action string) {
	if *err != nil {
		*err = errors.Wrap(*err, action)
	}
}
