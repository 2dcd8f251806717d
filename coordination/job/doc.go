// Package job holds the types of a job: its steps and tasks, and the record
// that an entry keeps of it in the key-value service. It does no I/O.
package job
