/*
 * The steward's lease and its permits for one cold target that bears one attempt. Two VMs compete; time passes in
 * ticks. An update of the lease takes effect between its sending and its answer, may fail, and its answer may be
 * lost; a VM may pause between any two steps. A permit given at t covers work that may run at any time before
 * t + PERMIT.
 */
#define LEASE 3
#define PERMIT 2
#define HORIZON 9
#define NONE 2

/* A new steward waits until every permit of its predecessor has ended. */
#ifdef MUTANT_NO_HANDOVER_WAIT
#define WAITED_OUT(me) true
#else
#define WAITED_OUT(me) (now >= since[me] + PERMIT)
#endif

/* A successor takes over only a record that it has seen unchanged for longer than the lease. */
#ifdef MUTANT_EARLY_TAKEOVER
#define STOOD_STILL(me) (now > seenAt[me])
#else
#define STOOD_STILL(me) (now > seenAt[me] + LEASE)
#endif

byte now;
byte holder = NONE;      /* in the lease object */
bool stale[2];           /* stale[me]: the object changed since VM me last saw it */
byte permitEnd;          /* end of the latest permit of either */

byte validUntil[2];
byte since[2];
byte seenAt[2];
byte ownEnd[2];          /* end of the VM's own latest permit, as it counts itself */

active proctype Clock() {
  do
  :: now < HORIZON -> now++
  :: now >= HORIZON -> break
  od
}

/* The conditional update: done only if the object is as the VM last saw it. */
inline update(me) {
  holder = me;
  stale[1 - me] = true;
  seenAt[me] = now
}

proctype VM(byte me) {
  byte sent;

  do
  :: now >= HORIZON -> break

  /* Grant: the last test of the lease and the record of the permit are one step. */
  :: atomic {
       now < validUntil[me] && WAITED_OUT(me) && ownEnd[me] <= now ->
       assert(permitEnd <= now); /* the target bears one attempt */
       permitEnd = now + PERMIT;
       ownEnd[me] = now + PERMIT
     }

  /* Renew: valid from before the update was sent, and only when it is known to have been done. */
  :: atomic { holder == me && now < validUntil[me] -> sent = now };
     if
     :: atomic { !stale[me] -> update(me) };
        if
#ifdef MUTANT_VALID_FROM_ANSWER
        :: atomic { validUntil[me] = now + LEASE; sent = 0 }
#else
        :: atomic { validUntil[me] = sent + LEASE; sent = 0 }
#endif
        :: sent = 0 /* the answer is lost */
        fi
     :: sent = 0 /* the update is lost */
     fi

  /* Release: a VM that leaves gives the lease up while its permits are out. */
  :: atomic { holder == me && now < validUntil[me] && !stale[me] -> holder = NONE; validUntil[me] = 0; stale[1 - me] = true }

  /* Observe. */
  :: atomic { now >= validUntil[me] && stale[me] -> stale[me] = false; seenAt[me] = now }

  /* TakeOver. */
  :: atomic { now >= validUntil[me] && !stale[me] && (holder == NONE || STOOD_STILL(me)) -> sent = now };
     if
     :: atomic { !stale[me] -> update(me); since[me] = now; validUntil[me] = sent + LEASE; ownEnd[me] = 0; sent = 0 }
     :: sent = 0 /* the update is lost */
     fi
  od
}

init {
  atomic { run VM(0); run VM(1) }
}
