/*
 * Mirror: a store changes two records, and two VMs copy them by lists, which may be stale, by watches and from each other. Once, the store may
 * come back from an older copy of itself, which begins a new era. A revision here stands for an era and a number, so that those of the new
 * era follow all earlier ones; a record of the copy has the era's first revision.
 * Checked: a VM's copy of a record never returns to an older revision, and includes every change up to the VM's complete revision. A record that
 * the store has lost stays until the VM settles, and no longer.
 */
#define RECORDS 2
#define VMS 2
#define CHANGES 3
#define STEPS 2

/* live[revision * RECORDS + r]: the revision of record r's last change as of that revision, or 0 if the record does not exist. */
byte live[(CHANGES + 1) * RECORDS];
/* deleted[revision * RECORDS + r]: the revision of record r's last removal as of that revision. */
byte deleted[(CHANGES + 1) * RECORDS];
byte revision;
/* The first revision of the new era, or 0 before it. */
byte eraStart;

/* A VM's copy of a record: the revision of the last change, and whether that change removed the record. */
byte known[VMS * RECORDS];
bool removed[VMS * RECORDS];
byte completeRevision[VMS];
/* Whether the VM has ended the use of records that the store has lost. */
bool settled[VMS];

#define LIVE(v, r) live[(v) * RECORDS + (r)]
#define DELETED(v, r) deleted[(v) * RECORDS + (r)]
#define KNOWN(i, r) known[(i) * RECORDS + (r)]
#define REMOVED(i, r) removed[(i) * RECORDS + (r)]

#define IS_NEW_ERA(v) (eraStart > 0 && (v) >= eraStart)
#define SAME_ERA(v, w) (IS_NEW_ERA(v) == IS_NEW_ERA(w))
/* Whether the store had record r in the earlier era only, and VM i has not settled yet. */
#define IS_UNSETTLED(i, r) (!settled[i] && IS_NEW_ERA(completeRevision[i]) && !IS_NEW_ERA(KNOWN(i, r)))

/* After the VM has settled, records of the earlier era are not taken any more. */
#ifdef MUTANT_TAKE_AFTER_SETTLING
#define MAY_TAKE(i, v) (true)
#else
#define MAY_TAKE(i, v) (!settled[i] || IS_NEW_ERA(v))
#endif

/* A state as of a revision older than the complete revision is outdated and must be ignored. */
#ifdef MUTANT_OLD_STATE
#define MAY_APPLY(i, v) (true)
#else
#define MAY_APPLY(i, v) ((v) >= completeRevision[i])
#endif

inline apply(i, r, v, isRemoval) {
  if
  :: MAY_TAKE(i, v) && v > KNOWN(i, r) ->
    KNOWN(i, r) = v;
    REMOVED(i, r) = isRemoval
  :: else
  fi
}

inline advanceComplete(i, v) {
  if
  :: v > completeRevision[i] -> completeRevision[i] = v
  :: else
  fi
}

/* The copy includes every change up to the complete revision. */
inline checkCopy(i) {
  d_step {
    r = 0;
    do
    :: r < RECORDS ->
      assert(KNOWN(i, r) >= LIVE(completeRevision[i], r));
      assert(LIVE(completeRevision[i], r) > 0 || KNOWN(i, r) == 0 || REMOVED(i, r) || KNOWN(i, r) > completeRevision[i] || IS_UNSETTLED(i, r));
      r++
    :: else -> break
    od;
    r = 0
  }
}

active proctype Store() {
  byte r, n, copy;
  do
  :: revision > 0 && revision < CHANGES && eraStart == 0 ->
    /* The store comes back from its state at an earlier revision. */
    atomic {
      if
      :: copy = revision
      :: copy = revision - 1
      :: revision > 1 -> copy = revision - 2
      fi;
      n = 0;
      do
      :: n < RECORDS ->
        if
        :: LIVE(copy, n) > 0 -> LIVE(revision + 1, n) = revision + 1
        :: else
        fi;
        n++
      :: else -> break
      od;
      revision++;
      eraStart = revision;
      copy = 0; n = 0
    }
  :: revision < CHANGES ->
    atomic {
      n = 0;
      do
      :: n < RECORDS -> LIVE(revision + 1, n) = LIVE(revision, n); DELETED(revision + 1, n) = DELETED(revision, n); n++
      :: else -> break
      od;
      if
      :: r = 0
      :: r = 1
      fi;
      if
      :: LIVE(revision, r) > 0 -> LIVE(revision + 1, r) = 0; DELETED(revision + 1, r) = revision + 1
      :: LIVE(revision + 1, r) = revision + 1
      fi;
      revision++
    }
  :: revision == CHANGES -> break
  od
}

/* Applies a list, which may be stale. Known records of its era that are missing from the list and not newer than it were removed. */

inline list(i) {
  atomic {
    if
    :: v = revision
    :: revision > 0 -> v = revision - 1
    :: revision > 1 -> v = revision - 2
    fi;
    r = 0;
    do
    :: r < RECORDS ->
      if
      :: MAY_APPLY(i, v) && LIVE(v, r) > 0 -> apply(i, r, LIVE(v, r), false)
      :: MAY_APPLY(i, v) && LIVE(v, r) == 0 && KNOWN(i, r) > 0 && !REMOVED(i, r) && KNOWN(i, r) <= v && SAME_ERA(KNOWN(i, r), v) ->
        assert(v >= KNOWN(i, r));
        REMOVED(i, r) = true;
        KNOWN(i, r) = v
      :: else
      fi;
      r++
    :: else -> break
    od;
    advanceComplete(i, v);
    r = 0; v = 0
  }
}

/* Applies the next change after the complete revision, as delivered by a watch. A watch of the earlier era cannot go on in the new one. */
inline watch(i) {
  atomic {
#ifdef MUTANT_WATCH_ACROSS_ERAS
    completeRevision[i] < revision ->
    v = completeRevision[i] + 1;
    if
    :: IS_NEW_ERA(v) && !IS_NEW_ERA(completeRevision[i]) -> v = revision
    :: else
    fi;
#else
    completeRevision[i] < revision && SAME_ERA(completeRevision[i], completeRevision[i] + 1) ->
    v = completeRevision[i] + 1;
#endif
    r = 0;
    do
    :: r < RECORDS ->
      if
      :: LIVE(v, r) == v -> apply(i, r, v, false)
      :: DELETED(v, r) == v -> apply(i, r, v, true)
      :: else
      fi;
      r++
    :: else -> break
    od;
    advanceComplete(i, v);
    r = 0; v = 0
  }
}

/* Reads from the peer: its changes after a revision, which records exist, and its complete revision. */
inline requestFrom(peer, afterRevision) {
  atomic {
    r = 0;
    do
    :: r < RECORDS ->
      receivedRevision[r] = 0;
      if
      :: KNOWN(peer, r) > afterRevision -> receivedRevision[r] = KNOWN(peer, r); receivedRemoved[r] = REMOVED(peer, r)
      :: else
      fi;
      existsAtPeer[r] = KNOWN(peer, r) > 0 && !REMOVED(peer, r) && SAME_ERA(KNOWN(peer, r), completeRevision[peer]);
      r++
    :: else -> break
    od;
    v = completeRevision[peer];
    r = 0
  }
}

inline applyReceived(i) {
  r = 0;
  do
  :: r < RECORDS ->
    if
    :: MAY_APPLY(i, v) && receivedRevision[r] > 0 -> apply(i, r, receivedRevision[r], receivedRemoved[r])
    :: else
    fi;
    r++
  :: else -> break
  od;
  r = 0
}

/* Requests the peer's changes after the VM's own complete revision. The peer may not know of a record that was created and
   removed before the peer's first list. If the sets of existing records differ after the changes were applied, the VM requests
   the full state. Both VMs continue to run in between. */
inline fetch(i, peer) {
  ownComplete = completeRevision[i];
  requestFrom(peer, ownComplete);
#ifdef MUTANT_COMPLETE_FROM_A_LATER_HEARTBEAT
  v = completeRevision[peer];
#endif
  atomic {
    applyReceived(i);
    setsDiffer = false;
#ifndef MUTANT_CHANGES_ALONE
    do
    :: r < RECORDS ->
      setsDiffer = setsDiffer || MAY_APPLY(i, v) && existsAtPeer[r] != (KNOWN(i, r) > 0 && !REMOVED(i, r) && SAME_ERA(KNOWN(i, r), v));
      r++
    :: else -> break
    od;
    r = 0;
#endif
    if
    :: !setsDiffer -> advanceComplete(i, v)
    :: else
    fi
  };
  if
  :: setsDiffer ->
    requestFrom(peer, 0);
    atomic {
      applyReceived(i);
      do
      :: r < RECORDS ->
        if
        :: MAY_APPLY(i, v) && !existsAtPeer[r] && KNOWN(i, r) > 0 && !REMOVED(i, r) && KNOWN(i, r) <= v && SAME_ERA(KNOWN(i, r), v) ->
          REMOVED(i, r) = true;
          KNOWN(i, r) = v
        :: else
        fi;
        r++
      :: else -> break
      od;
      advanceComplete(i, v);
      r = 0
    }
  :: else
  fi;
  atomic {
    v = 0; ownComplete = 0; setsDiffer = false; receivedRevision[0] = 0; receivedRevision[1] = 0;
    receivedRemoved[0] = false; receivedRemoved[1] = false; existsAtPeer[0] = false; existsAtPeer[1] = false
  }
}

/* Ends the use of the records that the store has lost, once the VM has a list of the new era. */
inline settle(i) {
  atomic {
    IS_NEW_ERA(completeRevision[i]) && !settled[i] ->
    r = 0;
    do
    :: r < RECORDS ->
      if
      :: KNOWN(i, r) > 0 && !REMOVED(i, r) && !IS_NEW_ERA(KNOWN(i, r)) ->
        REMOVED(i, r) = true;
        KNOWN(i, r) = completeRevision[i]
      :: else
      fi;
      r++
    :: else -> break
    od;
    settled[i] = true;
    r = 0
  }
}

proctype VM(byte me) {
  byte steps, r, v, ownComplete;
  byte receivedRevision[RECORDS];
  bool receivedRemoved[RECORDS];
  bool existsAtPeer[RECORDS];
  bool setsDiffer;
  do
  :: steps < STEPS ->
    steps++;
    if
    :: list(me)
    :: watch(me)
    :: fetch(me, 1 - me)
    :: settle(me)
    fi;
    checkCopy(me)
  :: steps >= STEPS -> break
  od
}

init {
  /* Two processes update VM 0's copy concurrently, as the loops of a real VM do. */
  atomic { run VM(0); run VM(0); run VM(1) }
}
