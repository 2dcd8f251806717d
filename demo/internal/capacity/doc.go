// Package capacity runs the real daemons at several sizes, measures what each
// entry spends on control, and works out the slopes.
package capacity
