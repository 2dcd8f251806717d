// Package fleet starts a platform, endpoints and entries as separate processes
// on loopback and tells how to reach them.
package fleet
