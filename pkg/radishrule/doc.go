// Package radishrule parses the operator's rules file: plain text with one rule per line, each line ending with a
// required comment that names who requested the rule. The kinds of rules are registered in Kinds.
package radishrule
