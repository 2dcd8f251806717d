// Package cli runs the demo: it starts the fleet and sends load, changes the
// configuration and kills an entry meanwhile, and checks the recorded history.
package cli
