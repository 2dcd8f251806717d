// Package changelog keeps the configuration as a log of changes in the
// platform's key-value service.
//
// The record with index i is the key azurepoint/log/<i> and is created only if
// the key does not exist, so that each index has one record. A proposer whose
// write has an open outcome writes the same record at the same index again
// until the index is taken, and then reads whose record it is.
//
// A snapshot of the state bounds the log, and records below it are removed. A
// slow writer can then create a removed key again. Before any record is removed
// the key azurepoint/floor is raised to its index. A reader that has read a
// record reads the floor afterwards; if the floor is below the record's index,
// the key was never removed and the record is the first one. Otherwise the
// reader takes the snapshot instead, which is never below the floor.
package changelog
