/*
 * Claims of one idempotency key. Three calls at different VMs race for one platform object; an update is a
 * message that the platform may carry out late, its answer may be lost, and a VM may stop between any two steps.
 * Time is three phases: the key is inside its window, it has expired, its object has been swept.
 */
#define CALLS 3
#define NONE 255

byte version;            /* of the object; 0 when it does not exist */
byte nextVersion = 1;    /* versions are never used twice */
byte owner = NONE;       /* whose claim stands in the record */
bool withdrawn;          /* whether that claim was withdrawn */
byte runs;               /* dispatches of the key */
byte phase;              /* 0 inside the window, 1 expired, 2 swept */
bool refusedNotRun[CALLS];
bool dispatched[CALLS];

/* An update on its way: call, expected version, whether it withdraws. */
chan updates = [2 * CALLS] of { byte, byte, bool };
/* What became of an update: 1 done, 2 conflict, 3 answer lost. */
byte answer[CALLS];

/* The platform carries updates out in any order. */
active proctype Platform() {
  byte who, expected;
  bool withdraws;
end:
  do
  :: updates??who, expected, withdraws ->
    atomic {
#ifdef MUTANT_NO_CONDITION
      if
      :: true ->
#else
      if
      :: expected == version ->
#endif
        if
        :: withdraws && (owner == who || owner == NONE) -> owner = who; withdrawn = true
        :: withdraws && owner != who && owner != NONE -> skip
        :: !withdraws -> owner = who; withdrawn = false
        fi;
        version = nextVersion; nextVersion++;
        if
        :: answer[who] = 1
        :: answer[who] = 3
        fi
#ifndef MUTANT_NO_CONDITION
      :: else ->
        if
        :: answer[who] = 2
        :: answer[who] = 3
        fi
#endif
      fi
    }
  od
}

active proctype Clock() {
  phase = 1;
  atomic { phase = 2; version = 0; owner = NONE; withdrawn = false }
}

proctype Call(byte me) {
  byte seen, seenOwner;
  bool seenWithdrawn;

  if
  :: phase > 0 -> goto stop
  :: else
  fi;

read:
  atomic { seen = version; seenOwner = owner; seenWithdrawn = withdrawn };
  if
  :: seenOwner == me && !seenWithdrawn -> goto won
  :: seenOwner == me && seenWithdrawn -> goto stop
  :: seenOwner != NONE && seenOwner != me && !seenWithdrawn -> goto stop /* follows the other's outcome */
  :: else
  fi;

commit:
  if
  :: answer[me] = 0; updates!me, seen, false
  :: goto giveUp
  fi;

wait:
  if
  :: answer[me] == 1 -> goto won
  :: answer[me] == 2 -> goto read
#ifdef MUTANT_TRUST_LOST_ANSWER
  :: answer[me] == 3 -> goto won
#else
  :: answer[me] == 3 -> goto read
#endif
  :: goto giveUp            /* the caller's deadline passes; the update may still be on its way */
  fi;

won:
#ifndef MUTANT_NO_AGE_CHECK
  if
  :: phase > 0 -> goto stop
  :: else
  fi;
#endif
  if
  :: goto stop              /* the VM dies before it dispatches */
  :: skip
  fi;
#ifdef MUTANT_DISPATCH_AFTER_REFUSAL
  refusedNotRun[me] = true;
#endif
  atomic { runs++; dispatched[me] = true };
  assert(runs <= 1);
  assert(!refusedNotRun[me]);
  goto stop;

giveUp:
  refusedNotRun[me] = true;
  assert(!dispatched[me]);
  if
  :: updates!me, version, true   /* Withdraw, so that a retry may claim the key */
  :: skip
  fi;

stop:
  skip
}

init {
  atomic {
    byte i;
    for (i : 0 .. CALLS - 1) { run Call(i) }
  }
}
