//go:build cgo

package radishsignal

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_sighup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
