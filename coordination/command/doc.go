// Package command is the operators' query and command language: it parses a
// text into typed statements and turns commands into steps of a change.
package command
