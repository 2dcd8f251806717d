// Package store says what an entry needs of the platform's key-value service:
// transactions, watches and leases.
package store
