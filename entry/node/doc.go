// Package node is an entry instance: it follows the configuration, takes part in
// the ownership of the pools, and answers callers, itself or through the owner.
package node
