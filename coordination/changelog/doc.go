// Package changelog keeps the configuration as a log of changes in the
// platform's key-value service.
//
// The record with index i is the key azurepoint/log/<i> and is created only if
// the key does not exist, so that each index has one record. A proposer whose
// write has an unknown outcome writes the same record at the same index again
// until the index is taken, and then reads which record has the index.
//
// A snapshot of the state bounds the log, and records below it are removed. A
// slow writer can then create a removed key again. To detect this, the key
// azurepoint/floor is raised to the index of a record before the record is
// removed, and a reader reads the floor after the records. If the floor is below
// the index of a record, its key was never removed and the record is the first
// one. Otherwise the reader loads the snapshot, which is never below the floor.
package changelog
