/*
 * The steward's lease, and the steward's permits for a cold target with a capacity of one attempt. The steward is the VM
 * that holds the lease. Two VMs compete; time passes in ticks. An update of the lease object takes effect between its
 * request and its response, may fail, and its response may be lost. A VM may pause between any two steps. A permit that
 * is granted at t covers work that may run at any time before t + PERMIT_TICKS.
 * Checked: no two permits overlap.
 */
#define LEASE_TICKS 3
#define PERMIT_TICKS 2
#define LAST_TICK 9
#define NONE 2

/* A new steward waits until every permit of its predecessor has expired. */
#ifdef MUTANT_NO_HANDOVER_WAIT
#define OLD_PERMITS_EXPIRED(me) true
#else
#define OLD_PERMITS_EXPIRED(me) (now >= acquiredAt[me] + PERMIT_TICKS)
#endif

/* A VM takes the lease over only after it has observed the lease object unchanged for longer than the lease. */
#ifdef MUTANT_EARLY_TAKEOVER
#define UNCHANGED_FOR_LEASE(me) (now > readAt[me])
#else
#define UNCHANGED_FOR_LEASE(me) (now > readAt[me] + LEASE_TICKS)
#endif

byte now;
byte holder = NONE;        /* the holder that the lease object names */
bool stale[2];             /* stale[me]: the object changed since VM me last read it */
byte permitExpiry;         /* expiry of the latest permit of either VM */

byte validUntil[2];
byte acquiredAt[2];
byte readAt[2];
byte ownPermitExpiry[2];   /* expiry of the latest permit that the VM itself granted */

active proctype Clock() {
  do
  :: now < LAST_TICK -> now++
  :: now >= LAST_TICK -> break
  od
}

/* The effect of a conditional update; callers check that the object is as the VM last read it. */
inline update(me) {
  holder = me;
  stale[1 - me] = true;
  readAt[me] = now
}

proctype VM(byte me) {
  byte sentAt;

  do
  :: now >= LAST_TICK -> break

  /* Grant: the last check of the lease and the recording of the permit are one atomic step. */
  :: atomic {
       now < validUntil[me] && OLD_PERMITS_EXPIRED(me) && ownPermitExpiry[me] <= now ->
       assert(permitExpiry <= now); /* the target's capacity is one attempt */
       permitExpiry = now + PERMIT_TICKS;
       ownPermitExpiry[me] = now + PERMIT_TICKS
     }

  /* Renew: the lease is valid from before the update was sent, and only if the update is known to have been applied. */
  :: atomic { holder == me && now < validUntil[me] -> sentAt = now };
     if
     :: atomic { !stale[me] -> update(me) };
        if
#ifdef MUTANT_VALID_FROM_ANSWER
        :: atomic { validUntil[me] = now + LEASE_TICKS; sentAt = 0 }
#else
        :: atomic { validUntil[me] = sentAt + LEASE_TICKS; sentAt = 0 }
#endif
        :: sentAt = 0 /* the response is lost */
        fi
     :: sentAt = 0 /* the update is lost */
     fi

  /* Release: a VM that shuts down releases the lease while its permits are still valid. */
  :: atomic { holder == me && now < validUntil[me] && !stale[me] -> holder = NONE; validUntil[me] = 0; stale[1 - me] = true }

  /* Observe: read the changed lease object. */
  :: atomic { now >= validUntil[me] && stale[me] -> stale[me] = false; readAt[me] = now }

  /* TakeOver: acquire a lease that was released or has expired. */
  :: atomic { now >= validUntil[me] && !stale[me] && (holder == NONE || UNCHANGED_FOR_LEASE(me)) -> sentAt = now };
     if
     :: atomic {
          !stale[me] ->
          update(me); acquiredAt[me] = now; validUntil[me] = sentAt + LEASE_TICKS; ownPermitExpiry[me] = 0; sentAt = 0
        }
     :: sentAt = 0 /* the update is lost */
     fi
  od
}

init {
  atomic { run VM(0); run VM(1) }
}
