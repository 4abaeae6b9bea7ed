// Package radishhedge decides when a second copy of a call is sent to another target, from the times that such calls take, and limits the
// copies to the share of the calls that operators allow. Functions take the current time as an argument.
//
// It addresses services of which a few responses are several times slower than the others, because a target is slow for a moment: a copy
// that is sent once a call takes longer than nearly all others responds earlier. The opposite pattern is overload, where all calls become
// slow and copies would make them slower: the delay follows the times, and the limit bounds the copies whatever the times are.
package radishhedge
