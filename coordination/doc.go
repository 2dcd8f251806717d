// Package coordination holds the parts with which the entry instances of a
// shared fleet decide together without a leader; each subpackage has one duty.
package coordination
