/*
 * Model of one request that may run at most once, submitted through one endpoint process with one
 * slot. The entry submits an attempt and submits the next one only after proof that the previous one
 * did not run. Messages are delayed without bound, lost, reordered and delivered twice. The entry
 * may freeze between any two steps. The endpoint process restarts with empty memory at any time, and
 * its grant numbers then begin again; the incarnation that a Submit names is the fencing number
 * that tells its grants and attempts from those of its predecessors.
 *
 * Checked: the request runs at most once, no attempt runs after not_run was answered for it, and the
 * slot holds at most one request. Each BROKEN_ macro removes one guard.
 */

#define ATTEMPTS 2
#define DELIVERIES 2
#define INCARNATIONS 3

mtype = { none, refused, running, ended };

/* Endpoint process. */
byte incarnation = 1;
mtype record[ATTEMPTS] = none;
byte last_grant;
byte outstanding;  /* Number of the outstanding grant, or 0. */
byte busy;         /* Requests in the slot. */
bool other;        /* Whether another entry's request is in the slot. */

/* Messages in transit, by attempt. */
byte submitted[ATTEMPTS];     /* Incarnation that the Submit names; 0 before it is sent. */
byte grant[ATTEMPTS];         /* Grant that the Submit names. */
byte deliveries[ATTEMPTS];
bool withdrawing[ATTEMPTS];
bool not_run[ATTEMPTS];       /* Whether not_run was answered. */

/* What happened. */
byte runs;

inline answer_not_run(a) {
  record[a] = refused;
  not_run[a] = true
}

inline start(a) {
  assert(!not_run[a]);
  runs++;
  assert(runs <= 1);
  busy++;
  assert(busy <= 1);
  record[a] = running
}

#ifdef BROKEN_incarnation_check
#define NAMES_OTHER(a) false
#else
#define NAMES_OTHER(a) (submitted[a] != incarnation)
#endif

#ifdef BROKEN_duplicate_check
#define IS_KNOWN(a) false
#else
#define IS_KNOWN(a) (record[a] != none)
#endif

#ifdef BROKEN_grant_expiry
#define IS_GRANTED(a) (grant[a] <= last_grant)
#else
#define IS_GRANTED(a) (grant[a] == outstanding)
#endif

inline deliver_submit(a) {
  atomic {
    submitted[a] != 0 && deliveries[a] < DELIVERIES ->
    deliveries[a]++;
    if
    :: NAMES_OTHER(a) -> skip  /* stale_incarnation, unknown */
    :: !NAMES_OTHER(a) && IS_KNOWN(a) -> skip  /* the first answer is repeated */
    :: !NAMES_OTHER(a) && !IS_KNOWN(a) && IS_GRANTED(a) -> outstanding = 0; start(a)
    :: else -> answer_not_run(a)  /* grant_expired */
    fi
  }
}

inline deliver_withdraw(a) {
  atomic {
    withdrawing[a] ->
    withdrawing[a] = false;
    if
    :: NAMES_OTHER(a) -> skip  /* unknown */
    :: !NAMES_OTHER(a) && record[a] == none ->
#ifdef BROKEN_withdraw_record
      not_run[a] = true
#else
      answer_not_run(a)
#endif
    :: else -> skip  /* running, ran, or not_run as before */
    fi
  }
}

active proctype Endpoint() {
  byte a;
end:
  do
  :: deliver_submit(0)
  :: deliver_submit(1)
  :: deliver_withdraw(0)
  :: deliver_withdraw(1)
  :: atomic { busy == 0 && outstanding == 0 && last_grant < 3 ->
       last_grant++; outstanding = last_grant }
  :: atomic { outstanding != 0 -> outstanding = 0 }  /* expires */
  :: atomic { busy == 0 && outstanding == 0 -> busy++; other = true }
  :: atomic { other -> busy--; other = false }
  :: atomic { record[0] == running -> record[0] = ended; busy-- }
  :: atomic { record[1] == running -> record[1] = ended; busy-- }
  :: atomic { incarnation < INCARNATIONS ->
       incarnation++;
       for (a : 0 .. ATTEMPTS - 1) { record[a] = none }
       last_grant = 0; outstanding = 0; busy = 0; other = false }
  od
}

active proctype Entry() {
  byte a;
  byte known;
  byte received;
end:
  do
  :: a < ATTEMPTS ->
    atomic { outstanding != 0 -> known = incarnation; received = outstanding };
    /* A freeze here lets the grant expire and the endpoint process restart. */
    atomic { grant[a] = received; submitted[a] = known };
    /* The stream breaks, or the verdict arrives. */
    if
    :: withdrawing[a] = true
    :: skip
    fi;
    if
    :: not_run[a] -> a++
    :: break  /* the caller is told unknown or ran */
    fi
  :: else -> break
  od
}
