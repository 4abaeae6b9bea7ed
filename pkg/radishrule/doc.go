// Package radishrule reads the operator's rules file: plain text, one rule a line, each line with a comment
// that names who asked for it. Rule kinds register themselves in Kinds.
package radishrule
