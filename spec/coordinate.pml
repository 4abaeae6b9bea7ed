/*
 * Coordinate: two VMs send plans to the first choice of a coordinator over links that are reset, and the first choice may
 * stand still. Every plan ends; as long as links are only reset, once while a plan is asked, no other VM coordinates; and
 * no plan is sent to a VM that stands still and has not answered since its link was closed.
 */
#define VMS 2
#define PLANS 2
#define RESETS 2
#define FREEZES 1
/* MAX_ASKS is how many VMs are asked in turn before the own VM coordinates. */
#define MAX_ASKS 3

/* A link from a VM to the first choice: open, being dialled after a reset and awaited, or out of reach. */
#define OPEN 0
#define AWAITED 1
#define AWAY 2
byte link[VMS];

bool frozen;
/* closed: the link was closed for silence, and the first choice has not answered since. */
bool closed[VMS];
bool asking[VMS];
/* broken: the link broke under the plan that waits. */
bool broken[VMS];
/* resets: how often the link was reset while the VM's plan was asked. */
byte resets[VMS];
bool was_frozen;
byte ended;

#ifdef MUTANT_NO_AWAIT
#define AFTER_RESET AWAY
#else
#define AFTER_RESET AWAITED
#endif

/* A dialled VM counts as linked once it has answered; the kernel takes connections for one that stands still. */
#ifdef MUTANT_LINK_BEFORE_ANSWER
#define MAY_LINK true
#else
#define MAY_LINK !frozen
#endif

proctype vm(byte i) {
  byte plan, asks;
  bool again, suspected, answered;
  do
  :: plan < PLANS ->
    asks = 0; again = false; suspected = false; answered = false; resets[i] = 0;
    do
    :: answered || asks == MAX_ASKS || suspected || link[i] == AWAY -> break
    :: !answered && asks < MAX_ASKS && !suspected && link[i] == AWAITED ->
      /* The call waits for the link; the wait ends when the link is open or given up. */
      link[i] != AWAITED
    :: !answered && asks < MAX_ASKS && !suspected && link[i] == OPEN ->
      atomic {
        if
        :: link[i] == OPEN ->
          assert(!(frozen && closed[i]));
          asking[i] = true; broken[i] = false; asks++
        :: else
        fi
      };
      if
      :: asking[i] && !frozen && !broken[i] -> answered = true
      :: asking[i] && broken[i] ->
        if
        :: link[i] != AWAY && !again -> again = true
        :: else -> suspected = true
        fi
      :: !asking[i]
      fi;
      asking[i] = false
    od;
    if
    :: !answered ->
      /* This VM coordinates by itself: only where the first choice stood still, or its link was reset twice. */
      assert(was_frozen || resets[i] > 1)
    :: else
    fi;
    plan++
  :: else -> break
  od;
  ended++
}

/* The network resets links, and each is dialled anew. */
proctype network() {
  byte n;
  do
  :: n < RESETS && ended < VMS ->
    atomic {
      if
      :: link[0] == OPEN -> link[0] = AFTER_RESET; broken[0] = true; resets[0]++
      :: link[1] == OPEN -> link[1] = AFTER_RESET; broken[1] = true; resets[1]++
      :: else
      fi;
      n++
    }
  :: else -> break
  od
}

proctype dialler(byte i) {
  do
  :: atomic { link[i] != OPEN && MAY_LINK -> link[i] = OPEN; if :: !frozen -> closed[i] = false :: else fi }
  :: atomic { link[i] == AWAITED && frozen -> link[i] = AWAY }
  :: ended == VMS -> break
  od
}

/* A VM that owes a plan and says nothing is probed, and its link closed. */
proctype prober(byte i) {
  do
#ifndef MUTANT_NO_PROBE
  :: atomic { asking[i] && frozen && link[i] == OPEN -> link[i] = AWAY; broken[i] = true; closed[i] = true }
#endif
  :: ended == VMS -> break
  od
}

/* The first choice stands still, and may go on later. */
proctype first() {
  byte n;
  do
  :: n < FREEZES && ended < VMS ->
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
    :: i < VMS -> run vm(i); run dialler(i); run prober(i); i++
    :: else -> break
    od;
    run network(); run first()
  }
}
