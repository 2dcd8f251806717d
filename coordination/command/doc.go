// Package command implements the operators' query and command language: it
// parses a text into typed statements and translates commands to the steps of a
// change.
package command
