/*
 * Orders to two targets, one that checks fencing numbers and one that does not. Two VMs compete for the lease, whose
 * exclusiveness is steward.pml's matter; each learns the configuration at its own pace. An order to the checking
 * target may arrive at any later time, as when its sender was frozen; one to the other target arrives within ORDER.
 */
#define LEASE 2
#define ORDER 2
#define HORIZON 6
#define GENERATIONS 2
#define SLOTS 2
#define NONE 2

/* The target refuses an order with a lower number than it took. */
#ifdef MUTANT_NO_FENCE
#define MAY_TAKE(fence) true
#else
#define MAY_TAKE(fence) ((fence) >= checking)
#endif

/* A new holder waits until the orders of its predecessor have run out. */
#ifdef MUTANT_NO_ORDER_WAIT
#define WAITED_OUT(me) true
#else
#define WAITED_OUT(me) (isFirst[me] || now >= since[me] + ORDER)
#endif

/* A new holder's configuration is no older than the newest accepted one was when it looked. */
#ifdef MUTANT_NO_NEWEST
#define IS_NEWEST(me) true
#else
#define IS_NEWEST(me) (known[me] >= generation)
#endif

/* A holder's next order to the target waits until the last one has arrived or run out. */
#ifdef MUTANT_OVERTAKE
#define IS_ALONE(me) true
#else
#define IS_ALONE(me) (order[me] == 0 && older[me] == 0)
#endif

#define IS_HOLDER(me) (holder == me && now < validUntil)

byte now;
byte generation = 1;
byte known[2] = 1;       /* the configuration in force at the VM */
byte holder = NONE;
byte validUntil;
byte since[2];
bool isFirst[2];
bool isSettled[2];

byte checking;           /* number of the last order that each target took */
byte plain;
byte late[SLOTS];        /* orders on their way to the checking target */
byte order[2];           /* order of the VM on its way to the plain target */
byte older[2];           /* an order of the VM that its next one has overtaken */
byte runsOut[2];       /* when the order of the VM is past */

active proctype Clock() {
  do
  :: now < HORIZON -> now++
  :: now >= HORIZON -> break
  od
}

active proctype Operator() {
  do
  :: generation < GENERATIONS -> generation++
  :: generation >= GENERATIONS -> break
  od
}

active [2] proctype VM() {
  byte me = _pid - 2;
  do
  :: now >= HORIZON -> break
  :: atomic { known[me] < generation -> known[me]++ }

  /* TakeOver and Renew, as steward.pml has them. */
  :: atomic {
       now >= validUntil ->
       isFirst[me] = (holder == NONE);
       holder = me;
       since[me] = now;
       isSettled[me] = false;
       validUntil = now + LEASE
     }
  :: atomic { IS_HOLDER(me) -> validUntil = now + LEASE }

  /* Settle: the wait and the look at the newest generation, once a term. */
  :: atomic { IS_HOLDER(me) && !isSettled[me] && WAITED_OUT(me) && IS_NEWEST(me) -> isSettled[me] = true }

  /* Order: the lease is tested last. */
  :: atomic { IS_HOLDER(me) && late[0] == 0 -> late[0] = known[me] }
  :: atomic { IS_HOLDER(me) && late[1] == 0 -> late[1] = known[me] }
  :: atomic {
       IS_HOLDER(me) && isSettled[me] && older[me] == 0 && IS_ALONE(me) ->
       older[me] = order[me];
       order[me] = known[me];
       runsOut[me] = now + ORDER
     }
  od
}

inline arriveLate(i) {
  if
  :: MAY_TAKE(late[i]) ->
     assert(late[i] >= checking); /* never back to an older state */
     checking = late[i]
  :: else
  fi;
  late[i] = 0
}

inline arrivePlain(fence) {
  assert(fence >= plain);
  plain = fence;
  fence = 0
}

active proctype Network() {
end:
  do
  :: atomic { late[0] != 0 -> arriveLate(0) }
  :: atomic { late[1] != 0 -> arriveLate(1) }
  :: atomic { order[0] != 0 && now < runsOut[0] -> arrivePlain(order[0]) }
  :: atomic { order[1] != 0 && now < runsOut[1] -> arrivePlain(order[1]) }
  :: atomic { order[0] != 0 && now >= runsOut[0] -> order[0] = 0 }
  :: atomic { order[1] != 0 && now >= runsOut[1] -> order[1] = 0 }
  :: atomic { older[0] != 0 -> arrivePlain(older[0]) }
  :: atomic { older[1] != 0 -> arrivePlain(older[1]) }
  od
}
