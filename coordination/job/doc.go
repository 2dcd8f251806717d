// Package job defines jobs, their steps and tasks, and the record of a job that
// an entry stores in the key-value service. It does no I/O.
package job
