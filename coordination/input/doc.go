// Package input checks figures and texts that other programs write.
package input
