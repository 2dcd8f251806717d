// Package store defines the interface of the platform's key-value service that an
// entry uses: transactions, watches and leases.
package store
