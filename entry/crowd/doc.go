// Package crowd plays clients that do not keep to the protocol, for tests.
package crowd
