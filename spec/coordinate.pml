/*
 * Coordination: two VMs send plan requests to the preferred coordinator over links that may be reset, and the preferred
 * coordinator may freeze (stop running without closing its connections).
 * Checked: every plan request ends; if links are only reset, at most once during a request, no other VM coordinates; and
 * no request is sent to a frozen VM that has not responded since its link was closed.
 */
#define VMS 2
#define PLANS 2
#define MAX_RESETS 2
#define MAX_FREEZES 1
/* MAX_ATTEMPTS is the number of attempts at other VMs before the VM coordinates by itself. */
#define MAX_ATTEMPTS 3

/* State of the link from a VM to the preferred coordinator: open, reconnecting after a reset, or unreachable. */
#define OPEN 0
#define RECONNECTING 1
#define UNREACHABLE 2
byte link[VMS];

bool frozen;
/* closed: the link was closed because the peer was silent, and the preferred coordinator has not responded since. */
bool closed[VMS];
bool requesting[VMS];
/* broken: the link was lost while the VM waited for a plan. */
bool broken[VMS];
/* resets: the number of resets of the link during the VM's current plan request. */
byte resets[VMS];
bool was_frozen;
byte finished_vms;

#ifdef MUTANT_NO_AWAIT
#define STATE_AFTER_RESET UNREACHABLE
#else
#define STATE_AFTER_RESET RECONNECTING
#endif

/* A link is open once the peer has responded; a connection alone proves nothing, as the kernel accepts it for a frozen process. */
#ifdef MUTANT_LINK_BEFORE_ANSWER
#define CAN_CONNECT true
#else
#define CAN_CONNECT !frozen
#endif

proctype vm(byte i) {
  byte plan, attempts;
  bool retried, suspected, answered;
  do
  :: plan < PLANS ->
    attempts = 0; retried = false; suspected = false; answered = false; resets[i] = 0;
    do
    :: answered || attempts == MAX_ATTEMPTS || suspected || link[i] == UNREACHABLE -> break
    :: !answered && attempts < MAX_ATTEMPTS && !suspected && link[i] == RECONNECTING ->
      /* The request waits until the link is open again or its reconnection is given up. */
      link[i] != RECONNECTING
    :: !answered && attempts < MAX_ATTEMPTS && !suspected && link[i] == OPEN ->
      atomic {
        if
        :: link[i] == OPEN ->
          assert(!(frozen && closed[i]));
          requesting[i] = true; broken[i] = false; attempts++
        :: else
        fi
      };
      if
      :: requesting[i] && !frozen && !broken[i] -> answered = true
      :: requesting[i] && broken[i] ->
        if
        :: link[i] != UNREACHABLE && !retried -> retried = true
        :: else -> suspected = true
        fi
      :: !requesting[i]
      fi;
      requesting[i] = false
    od;
    if
    :: !answered ->
      /* The VM coordinates by itself: only if the preferred coordinator was frozen or its link was reset more than once. */
      assert(was_frozen || resets[i] > 1)
    :: else
    fi;
    plan++
  :: else -> break
  od;
  finished_vms++
}

/* The network resets links; each one reconnects. */
proctype network() {
  byte n;
  do
  :: n < MAX_RESETS && finished_vms < VMS ->
    atomic {
      if
      :: link[0] == OPEN -> link[0] = STATE_AFTER_RESET; broken[0] = true; resets[0]++
      :: link[1] == OPEN -> link[1] = STATE_AFTER_RESET; broken[1] = true; resets[1]++
      :: else
      fi;
      n++
    }
  :: else -> break
  od
}

proctype dialer(byte i) {
  do
  :: atomic { link[i] != OPEN && CAN_CONNECT -> link[i] = OPEN; if :: !frozen -> closed[i] = false :: else fi }
  :: atomic { link[i] == RECONNECTING && frozen -> link[i] = UNREACHABLE }
  :: finished_vms == VMS -> break
  od
}

/* A VM that does not respond to a plan request is probed; if it is frozen, its link is closed. */
proctype prober(byte i) {
  do
#ifndef MUTANT_NO_PROBE
  :: atomic { requesting[i] && frozen && link[i] == OPEN -> link[i] = UNREACHABLE; broken[i] = true; closed[i] = true }
#endif
  :: finished_vms == VMS -> break
  od
}

/* The preferred coordinator freezes and may resume later. */
proctype preferred_coordinator() {
  byte n;
  do
  :: n < MAX_FREEZES && finished_vms < VMS ->
    atomic { frozen = true; was_frozen = true; n++ };
    if
    :: frozen = false
    :: skip
    fi
  :: else -> break
  od
}

init {
  byte i;
  atomic {
    i = 0;
    do
    :: i < VMS -> run vm(i); run dialer(i); run prober(i); i++
    :: else -> break
    od;
    run network(); run preferred_coordinator()
  }
}
