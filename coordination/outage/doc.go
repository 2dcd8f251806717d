// Package outage decides when callers return whom an entry turns away because it reaches
// neither the store nor the owner of the pools. It does no I/O.
package outage
