// Package event writes numbered log events.
package event
