// Package sizingtest holds a model of pools and their tasks, and the loads that sizes are compared
// by. It is no test file because two users share it: the tests of package sizing bound what its
// decisions give in the model, and the command measure frontier plots the same loads over the
// headroom. No program of the fleet imports it.
package sizingtest
