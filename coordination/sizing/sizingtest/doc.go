// Package sizingtest holds a model of pools and their tasks, in which the decisions of package
// sizing are tested and measured.
package sizingtest
