// Package node is an entry instance: it follows the configuration, competes for the
// ownership of the pools, and answers callers, either itself or through the owner.
package node
