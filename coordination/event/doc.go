// Package event writes log events that are identified by a number.
package event
