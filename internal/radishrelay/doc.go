// Package radishrelay answers calls: it finds a call's route and team, has its stages run, sends it to a target and
// passes the answer on, and repeats only what may be repeated.
package radishrelay
