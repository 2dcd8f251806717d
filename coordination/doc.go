// Package coordination groups the packages with which the entries of a fleet make
// joint decisions without an elected leader. Each subpackage covers one task.
package coordination
