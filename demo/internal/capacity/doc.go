// Package capacity runs the real daemons at several fleet sizes, measures the
// resources that each entry uses for control traffic, and fits a line through the
// measurements of each varied dimension.
package capacity
