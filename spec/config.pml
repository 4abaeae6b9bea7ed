/*
 * Configuration: two operators concurrently submit changes based on the same generation, responses may be lost, and two
 * VMs read the configuration from the platform, whose reads may be stale, and from each other.
 * Checked: an operator's result is correct, an accepted change is never replaced, and no VM reverts to an older generation.
 */
#define NONE 255
#define OPERATORS 2
#define VMS 2

byte generation;           /* generation in the head object */
byte changeOf[4] = NONE;   /* changeOf[g]: the operator whose change created generation g */
byte result[OPERATORS];    /* reported to the operator: 0 pending, 1 accepted, 2 conflict, 3 unknown */
byte applied[VMS];

proctype Operator(byte me) {
  byte base;
  bool ambiguous;
  base = generation;

send:
  if
  :: atomic { /* the update reaches the platform */
#ifdef MUTANT_NO_CONDITION
       true -> generation = base + 1; changeOf[base + 1] = me
#else
       generation == base -> generation = base + 1; changeOf[base + 1] = me
#endif
     };
     if
     :: result[me] = 1; goto check_result
     :: ambiguous = true /* the response is lost */
     fi
  :: generation != base -> goto resolve
  :: ambiguous = true /* the update is lost */
  fi;
  if
  :: goto send
  :: result[me] = 3; goto check_result
  fi;

resolve: /* the change ID in the head object shows whether this change was applied */
  if
#ifndef MUTANT_NO_CHANGE_ID
  :: changeOf[base + 1] == me -> result[me] = 1
  :: else -> result[me] = 2
#else
  :: true -> result[me] = 2
#endif
  fi;

check_result:
  /* Accepted: the change created its generation. Conflict: it did not, and never will. */
  assert(result[me] != 1 || changeOf[base + 1] == me);
  assert(result[me] != 2 || changeOf[base + 1] != me)
}

proctype VM(byte me) {
  byte received, steps;
  do
  :: steps < 4 ->
    steps++;
    if
    :: received = generation
    :: generation > 0 -> received = generation - 1 /* a stale read */
    :: received = applied[1 - me]                  /* read from the peer */
    fi;
    atomic {
      if
#ifdef MUTANT_TAKE_ANY
      :: true ->
#else
      :: received > applied[me] ->
#endif
        assert(received >= applied[me]); /* a VM never reverts */
        applied[me] = received
#ifndef MUTANT_TAKE_ANY
      :: else
#endif
      fi
    }
  :: steps >= 4 -> break
  od
}

/* An accepted change is final: no later update replaces the change that created a generation. */
active proctype Audit() {
  byte firstChange;
end:
  changeOf[1] != NONE;
  firstChange = changeOf[1];
  do
  :: assert(changeOf[1] == firstChange); if :: skip :: break fi
  od
}

init {
  atomic { run Operator(0); run Operator(1); run VM(0); run VM(1) }
}
