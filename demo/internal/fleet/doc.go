// Package fleet starts a platform, endpoints and entries as separate processes
// on loopback and provides their addresses.
package fleet
