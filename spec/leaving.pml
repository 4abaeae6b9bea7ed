/*
 * A target announces in its responses that it leaves, ends, and starts again under its name. VMs learn of its starts from records, which
 * may be old, lapse and return, and of announcements from responses of their own and from each other.
 * Checked: a VM that knows of the announcement of a start sends nothing more to that start, and a later start that did not announce
 * anything may be sent to.
 */
#define VMS 2
#define STARTS 3

/* The start that runs now, and which starts leave. */
byte current = 0;
bool leaving[STARTS] = false;

/* The start in each VM's record, if it has one. */
byte record[VMS] = 0;
bool has_record[VMS] = true;
/* announced: 1 + the latest start whose announcement the VM recorded, or 0. */
byte announced[VMS] = 0;
/* latest_heard is the same without what a fault of the VM may undo. */
byte latest_heard[VMS] = 0;

byte vm, peer, start;

#ifdef MUTANT_NAME_ONLY
#define usable(v) (has_record[v] && announced[v] == 0)
#else
#define usable(v) (has_record[v] && record[v] + 1 > announced[v])
#endif

inline hear(v, heard) {
  if
  :: heard > announced[v] -> announced[v] = heard
  :: else
  fi;
  if
  :: heard > latest_heard[v] -> latest_heard[v] = heard
  :: else
  fi
}

/* A call goes to the start in the record; another one at the address rejects it. */
inline send(v) {
  assert(record[v] + 1 > latest_heard[v]);
  if
  :: record[v] == current && leaving[current] -> hear(v, current + 1)
  :: else
  fi
}

inline store_record(v, s) {
#ifdef MUTANT_RECORD_REVIVES
  if
  :: announced[v] == s + 1 -> announced[v] = 0
  :: else
  fi;
#endif
  record[v] = s;
  has_record[v] = true;
  assert(s + 1 <= latest_heard[v] || usable(v))
}

inline lapse(v) {
#ifdef MUTANT_LAPSE_FORGETS
  announced[v] = 0;
#endif
  has_record[v] = false
}

active proctype world() {
  do
  :: atomic { current < STARTS - 1 -> current++ }
  :: atomic { !leaving[current] -> leaving[current] = true }
  :: atomic {
       select(vm : 0 .. VMS - 1);
       peer = VMS - 1 - vm;
       if
       :: usable(vm) -> send(vm)
       :: has_record[vm] -> lapse(vm)
       :: select(start : 0 .. STARTS - 1);
          if
          :: start <= current -> store_record(vm, start)
          :: else
          fi
       :: announced[peer] > 0 -> hear(vm, announced[peer])
       fi
     }
  od
}
