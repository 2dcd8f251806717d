// Package cli implements the operators' command line: it sends statements to the
// operators' API of an entry and prints the answers.
package cli
