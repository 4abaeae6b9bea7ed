/*
 * Configuration: two operators race with changes made from the same generation, answers are lost, and two VMs learn
 * from the platform, whose reads may be stale, and from each other.
 */
#define NONE 255
#define OPS 2
#define VMS 2

byte generation;         /* of the head object */
byte change[4] = NONE;   /* change[g]: which operator's change made generation g */
byte verdict[OPS];       /* 0 pending, 1 told accepted, 2 told conflict, 3 told unknown */
byte inForce[VMS];

proctype Operator(byte me) {
  byte base;
  bool ambiguous;
  base = generation;

send:
  if
  :: atomic { /* the update arrives */
#ifdef MUTANT_NO_CONDITION
       true -> generation = base + 1; change[base + 1] = me
#else
       generation == base -> generation = base + 1; change[base + 1] = me
#endif
     };
     if
     :: verdict[me] = 1; goto decided
     :: ambiguous = true /* the answer is lost */
     fi
  :: generation != base -> goto resolve
  :: ambiguous = true /* the update is lost */
  fi;
  if
  :: goto send
  :: verdict[me] = 3; goto decided
  fi;

resolve: /* the head tells, by the change's id, whether the change is in it */
  if
#ifndef MUTANT_NO_CHANGE_ID
  :: change[base + 1] == me -> verdict[me] = 1
  :: else -> verdict[me] = 2
#else
  :: true -> verdict[me] = 2
#endif
  fi;

decided:
  /* Told accepted: the change made its generation. Told conflict: it did not, and never will. */
  assert(verdict[me] != 1 || change[base + 1] == me);
  assert(verdict[me] != 2 || change[base + 1] != me)
}

proctype VM(byte me) {
  byte got, steps;
  do
  :: steps < 4 ->
    steps++;
    if
    :: got = generation
    :: generation > 0 -> got = generation - 1 /* a stale read */
    :: got = inForce[1 - me]                  /* from the peer */
    fi;
    atomic {
      if
#ifdef MUTANT_TAKE_ANY
      :: true ->
#else
      :: got > inForce[me] ->
#endif
        assert(got >= inForce[me]); /* never reverts */
        inForce[me] = got
#ifndef MUTANT_TAKE_ANY
      :: else
#endif
      fi
    }
  :: steps >= 4 -> break
  od
}

/* An accepted change stays: no later update replaces the change of a generation. */
active proctype Audit() {
  byte first;
end:
  change[1] != NONE;
  first = change[1];
  do
  :: assert(change[1] == first); if :: skip :: break fi
  od
}

init {
  atomic { run Operator(0); run Operator(1); run VM(0); run VM(1) }
}
