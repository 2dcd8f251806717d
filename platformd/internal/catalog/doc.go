// Package catalog holds the instance list of the platform, in which each change
// becomes visible after a delay.
package catalog
