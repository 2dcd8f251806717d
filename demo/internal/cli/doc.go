// Package cli runs the demo: it starts the fleet, sends the load, changes and
// disturbs the fleet meanwhile, and checks what happened.
package cli
