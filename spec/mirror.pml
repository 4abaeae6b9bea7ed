/*
 * Mirror: a store changes two records, and two VMs copy them by lists, some of which are stale, by watches and from each other.
 * What a VM knows never goes back, and up to the revision that it calls complete it knows every change.
 */
#define RECORDS 2
#define VMS 2
#define CHANGES 3
#define STEPS 2

/* at[revision * RECORDS + r]: the revision of record r's last change as of that revision, 0 when it is not there. */
byte at[(CHANGES + 1) * RECORDS];
/* gone[revision * RECORDS + r]: the revision of its last removal as of that revision. */
byte gone[(CHANGES + 1) * RECORDS];
byte revision;

/* What a VM knows of a record: the revision of its last change, and whether that removed it. */
byte known[VMS * RECORDS];
bool removed[VMS * RECORDS];
byte complete[VMS];

#define AT(v, r) at[(v) * RECORDS + (r)]
#define GONE(v, r) gone[(v) * RECORDS + (r)]
#define KNOWN(i, r) known[(i) * RECORDS + (r)]
#define REMOVED(i, r) removed[(i) * RECORDS + (r)]

/* What holds as of a revision before the complete one tells nothing new. */
#ifdef MUTANT_OLD_STATE
#define MAY_TAKE(i, v) (true)
#else
#define MAY_TAKE(i, v) ((v) >= complete[i])
#endif

inline take(i, r, v, isRemoval) {
  if
  :: v > KNOWN(i, r) ->
    KNOWN(i, r) = v;
    REMOVED(i, r) = isRemoval
  :: else
  fi
}

inline raise(i, v) {
  if
  :: v > complete[i] -> complete[i] = v
  :: else
  fi
}

/* Every change up to the complete revision is known. */
inline check(i) {
  d_step {
    r = 0;
    do
    :: r < RECORDS ->
      assert(KNOWN(i, r) >= AT(complete[i], r));
      assert(AT(complete[i], r) > 0 || KNOWN(i, r) == 0 || REMOVED(i, r) || KNOWN(i, r) > complete[i]);
      r++
    :: else -> break
    od;
    r = 0
  }
}

active proctype Store() {
  byte r, n;
  do
  :: revision < CHANGES ->
    atomic {
      n = 0;
      do
      :: n < RECORDS -> AT(revision + 1, n) = AT(revision, n); GONE(revision + 1, n) = GONE(revision, n); n++
      :: else -> break
      od;
      if
      :: r = 0
      :: r = 1
      fi;
      if
      :: AT(revision, r) > 0 -> AT(revision + 1, r) = 0; GONE(revision + 1, r) = revision + 1
      :: AT(revision + 1, r) = revision + 1
      fi;
      revision++
    }
  :: revision == CHANGES -> break
  od
}

/* A list as of a revision, which may be an old one: what it lacks and is not newer than it was removed. */

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
      :: MAY_TAKE(i, v) && AT(v, r) > 0 -> take(i, r, AT(v, r), false)
      :: MAY_TAKE(i, v) && AT(v, r) == 0 && KNOWN(i, r) > 0 && !REMOVED(i, r) && KNOWN(i, r) <= v ->
        assert(v >= KNOWN(i, r));
        REMOVED(i, r) = true;
        KNOWN(i, r) = v
      :: else
      fi;
      r++
    :: else -> break
    od;
    raise(i, v);
    r = 0; v = 0
  }
}

/* A watch tells the change after the complete revision. */
inline watch(i) {
  atomic {
    complete[i] < revision ->
    v = complete[i] + 1;
    r = 0;
    do
    :: r < RECORDS ->
      if
      :: AT(v, r) == v -> take(i, r, v, false)
      :: GONE(v, r) == v -> take(i, r, v, true)
      :: else
      fi;
      r++
    :: else -> break
    od;
    raise(i, v);
    r = 0; v = 0
  }
}

/* What the peer tells: its changes after a revision, what is there, and up to where it knows all. */
inline ask(peer, since) {
  atomic {
    r = 0;
    do
    :: r < RECORDS ->
      got[r] = 0;
      if
      :: KNOWN(peer, r) > since -> got[r] = KNOWN(peer, r); gotRemoved[r] = REMOVED(peer, r)
      :: else
      fi;
      isThere[r] = KNOWN(peer, r) > 0 && !REMOVED(peer, r);
      r++
    :: else -> break
    od;
    v = complete[peer];
    r = 0
  }
}

inline takeAll(i) {
  r = 0;
  do
  :: r < RECORDS ->
    if
    :: MAY_TAKE(i, v) && got[r] > 0 -> take(i, r, got[r], gotRemoved[r])
    :: else
    fi;
    r++
  :: else -> break
  od;
  r = 0
}

/* A fetch asks the peer for what changed after the own complete revision. The peer need not know of a record that came and went
   before its first list; when what is there differs after that, the VM asks for everything. Meanwhile both go on. */
inline fetch(i, peer) {
  after = complete[i];
  ask(peer, after);
#ifdef MUTANT_COMPLETE_FROM_A_LATER_HEARTBEAT
  v = complete[peer];
#endif
  atomic {
    takeAll(i);
    differs = false;
#ifndef MUTANT_CHANGES_ALONE
    do
    :: r < RECORDS ->
      differs = differs || MAY_TAKE(i, v) && isThere[r] != (KNOWN(i, r) > 0 && !REMOVED(i, r));
      r++
    :: else -> break
    od;
    r = 0;
#endif
    if
    :: !differs -> raise(i, v)
    :: else
    fi
  };
  if
  :: differs ->
    ask(peer, 0);
    atomic {
      takeAll(i);
      do
      :: r < RECORDS ->
        if
        :: MAY_TAKE(i, v) && !isThere[r] && KNOWN(i, r) > 0 && !REMOVED(i, r) && KNOWN(i, r) <= v ->
          REMOVED(i, r) = true;
          KNOWN(i, r) = v
        :: else
        fi;
        r++
      :: else -> break
      od;
      raise(i, v);
      r = 0
    }
  :: else
  fi;
  atomic {
    v = 0; after = 0; differs = false; got[0] = 0; got[1] = 0; gotRemoved[0] = false; gotRemoved[1] = false;
    isThere[0] = false; isThere[1] = false
  }
}

proctype VM(byte me) {
  byte steps, r, v, after;
  byte got[RECORDS];
  bool gotRemoved[RECORDS];
  bool isThere[RECORDS];
  bool differs;
  do
  :: steps < STEPS ->
    steps++;
    if
    :: list(me)
    :: watch(me)
    :: fetch(me, 1 - me)
    fi;
    check(me)
  :: steps >= STEPS -> break
  od
}

init {
  /* VM 0 follows, checks and fetches at the same time. */
  atomic { run VM(0); run VM(0); run VM(1) }
}
