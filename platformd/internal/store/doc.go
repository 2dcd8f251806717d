// Package store holds the keys and sessions of the key-value service in memory.
package store
