// Package catalog keeps the platform's list of instances, which shows each
// change some time after it was made.
package catalog
