/*
 * Claims of one idempotency key. Three calls on different VMs compete for one platform object. An update is a
 * message that the platform may apply late, its response may be lost, and a VM may crash between any two steps.
 * Time has three phases: the key is valid, the key has expired, the expired object has been deleted by the sweep.
 * Checked: the request is dispatched at most once, and never after its caller was told that it did not run.
 */
#define CALLS 3
#define NONE 255

byte version;              /* version of the object; 0 if it does not exist */
byte nextVersion = 1;      /* versions are never reused */
byte holder = NONE;        /* the call that holds the claim in the object */
bool isWithdrawn;          /* whether that claim was withdrawn */
byte dispatches;           /* number of dispatches of the key's request */
byte phase;                /* 0 valid, 1 expired, 2 deleted by the sweep */
bool reportedNotRun[CALLS];
bool dispatched[CALLS];

/* Updates in transit: call, expected version, whether it withdraws the claim. */
chan updates = [2 * CALLS] of { byte, byte, bool };
/* Result of a call's update: 0 pending, 1 applied, 2 version conflict, 3 response lost. */
byte response[CALLS];

/* The platform applies updates in any order. */
active proctype Platform() {
  byte call, expected;
  bool isWithdrawal;
end:
  do
  :: updates??call, expected, isWithdrawal ->
    atomic {
#ifdef MUTANT_NO_CONDITION
      if
      :: true ->
#else
      if
      :: expected == version ->
#endif
        if
        :: isWithdrawal && (holder == call || holder == NONE) -> holder = call; isWithdrawn = true
        :: isWithdrawal && holder != call && holder != NONE -> skip
        :: !isWithdrawal -> holder = call; isWithdrawn = false
        fi;
        version = nextVersion; nextVersion++;
        if
        :: response[call] = 1
        :: response[call] = 3
        fi
#ifndef MUTANT_NO_CONDITION
      :: else ->
        if
        :: response[call] = 2
        :: response[call] = 3
        fi
#endif
      fi
    }
  od
}

active proctype Clock() {
  phase = 1;
  atomic { phase = 2; version = 0; holder = NONE; isWithdrawn = false }
}

proctype Call(byte me) {
  byte readVersion, readHolder;
  bool readWithdrawn;

  if
  :: phase > 0 -> goto done
  :: else
  fi;

read:
  atomic { readVersion = version; readHolder = holder; readWithdrawn = isWithdrawn };
  if
  :: readHolder == me && !readWithdrawn -> goto claimed
  :: readHolder == me && readWithdrawn -> goto done
  :: readHolder != NONE && readHolder != me && !readWithdrawn -> goto done /* waits for the other call's outcome */
  :: else
  fi;

update:
  if
  :: response[me] = 0; updates!me, readVersion, false
  :: goto abandon
  fi;

wait:
  if
  :: response[me] == 1 -> goto claimed
  :: response[me] == 2 -> goto read
#ifdef MUTANT_TRUST_LOST_ANSWER
  :: response[me] == 3 -> goto claimed
#else
  :: response[me] == 3 -> goto read
#endif
  :: goto abandon /* the caller's deadline expires; the update may still be in transit */
  fi;

claimed:
#ifndef MUTANT_NO_AGE_CHECK
  if
  :: phase > 0 -> goto done
  :: else
  fi;
#endif
  if
  :: goto done /* the VM crashes before it dispatches */
  :: skip
  fi;
#ifdef MUTANT_DISPATCH_AFTER_REFUSAL
  reportedNotRun[me] = true;
#endif
  atomic { dispatches++; dispatched[me] = true };
  assert(dispatches <= 1);
  assert(!reportedNotRun[me]);
  goto done;

abandon:
  reportedNotRun[me] = true;
  assert(!dispatched[me]);
  if
  :: updates!me, version, true /* withdraw the claim so that a retry can claim the key */
  :: skip
  fi;

done:
  skip
}

init {
  atomic {
    byte i;
    for (i : 0 .. CALLS - 1) { run Call(i) }
  }
}
