// Package process starts the programs of the demo on loopback and stops them.
package process
