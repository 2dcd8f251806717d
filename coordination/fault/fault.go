// Package fault wraps named error results.
package fault

import "github.com/go-faster/errors"

// Annotate wraps a non-nil error with a description of the failed action. It is
// meant to be deferred with a pointer to a named error result.
func Annotate(err *error, action string) {
	if *err != nil {
		*err = errors.Wrap(*err, action)
	}
}
