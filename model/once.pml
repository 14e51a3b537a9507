/* Once-only calls: entries append start records for one key, and the first one in the order of
 * the log wins and is sent once. Appends land late, twice or never; entries pause between any two
 * steps and crash after any step. */

#ifndef ENTRIES
#define ENTRIES 2
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef LENGTH
#define LENGTH 5
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef TWICE
#define TWICE 1 /* maximum records that land a second time */
#endif
#define NONE 15

mtype = { START, NOT_RUN, DONE, UNKNOWN }
mtype = { FREE, STARTED, ENDED_DONE, ENDED_UNKNOWN }
mtype = { IDLE, WAITING, SENDING, SENT }

/* The log, and the records in transit to it. */
mtype kind[LENGTH];
byte att[LENGTH];
byte length = 0;
byte flying_start = 0, flying_not_run = 0, flying_done = 0, flying_unknown = 0; /* one bit per attempt */
byte twice = 0;

/* What the upstream received and what callers were answered. */
byte sends = 0;
byte sent = 0;     /* one bit per attempt */
byte answered = 0; /* attempts answered not_run, one bit each */
byte attempts = 0;
byte crashes = 0;

#define BIT(a) (1 << (a))
#define HAS(set, a) (((set) & BIT(a)) != 0)

#ifdef ANY_NOT_RUN
#define FREES(a) true
#else
#define FREES(a) (holder == a)
#endif

proctype Entry() {
  byte next = 0;
  mtype key = FREE;
  byte holder = NONE;
  byte voided = 0;
  mtype state = IDLE;
  byte mine = NONE;  /* the attempt that has not ended */
  byte own = 0;      /* all attempts of this incarnation */
  byte ending = 0;   /* attempts whose end record is in transit, one bit each */
  byte a;
  mtype k;

end:
  do
  /* a call arrives */
  :: d_step { state == IDLE && key == FREE && attempts < ATTEMPTS ->
       mine = attempts; attempts++; own = own | BIT(mine);
       flying_start = flying_start | BIT(mine); state = WAITING }

  /* the entry abandons its attempt: the append failed, the log is down or slow, or the caller disconnected */
  :: d_step { state == WAITING ->
       answered = answered | BIT(mine);
       flying_not_run = flying_not_run | BIT(mine); ending = ending | BIT(mine);
#ifndef SEND_AFTER_ANSWER
       mine = NONE; state = IDLE
#endif
     }

#ifdef BELIEVE_APPEND
  :: d_step { state == WAITING && !HAS(flying_start, mine) -> state = SENDING }
#endif

  /* the winner sends, or cannot connect, or has exceeded its time limit after a pause */
  :: d_step { state == SENDING ->
       sends++; sent = sent | BIT(mine); state = SENT;
       assert(sends <= 1);
       assert((sent & answered) == 0) }
  :: d_step { state == SENDING ->
       answered = answered | BIT(mine); assert((sent & answered) == 0);
       flying_not_run = flying_not_run | BIT(mine); ending = ending | BIT(mine);
       mine = NONE; state = IDLE }

  /* the upstream answers, or does not answer in time */
  :: d_step { state == SENT -> flying_done = flying_done | BIT(mine); ending = ending | BIT(mine);
       mine = NONE; state = IDLE }
  :: d_step { state == SENT -> flying_unknown = flying_unknown | BIT(mine); ending = ending | BIT(mine);
       mine = NONE; state = IDLE }

  /* the entry ends another entry's attempt that has no end record */
  :: d_step { key == STARTED && holder != mine && !HAS(own, holder) && !HAS(flying_unknown, holder) ->
#ifdef ABANDON_FREES
       flying_not_run = flying_not_run | BIT(holder)
#else
       flying_unknown = flying_unknown | BIT(holder)
#endif
     }

  /* the entry folds the next record */
  :: d_step { next < length ->
       a = att[next]; k = kind[next]; next++;
       if
       :: k == START ->
            if
            :: HAS(voided, a) -> skip
            :: key == FREE && !HAS(voided, a) ->
               key = STARTED; holder = a;
               if
               :: state == WAITING && a == mine -> state = SENDING
               :: HAS(own, a) && a != mine && !HAS(ending, a) ->
                    flying_not_run = flying_not_run | BIT(a); ending = ending | BIT(a)
               :: else -> skip
               fi
            :: else ->
               if
               :: state == WAITING && a == mine && holder != a -> mine = NONE; state = IDLE
               :: else -> skip
               fi
            fi
       :: k == NOT_RUN ->
            voided = voided | BIT(a);
            if
            :: key == STARTED && FREES(a) -> key = FREE; holder = NONE
            :: else -> skip
            fi
       :: k == UNKNOWN ->
            if
            :: key == STARTED && holder == a -> key = ENDED_UNKNOWN
            :: else -> skip
            fi
       :: k == DONE ->
            if
            :: (key == STARTED || key == ENDED_UNKNOWN) && holder == a -> key = ENDED_DONE
            :: else -> skip
            fi
       fi;
       a = 0; k = START }

  /* the process crashes; a new incarnation folds the log from its start */
  :: d_step { crashes < CRASHES ->
       crashes++; next = 0; key = FREE; holder = NONE; voided = 0;
       state = IDLE; mine = NONE; own = 0; ending = 0 }
  od
}

#define LAND(set, what) \
  :: d_step { length < LENGTH && HAS(set, a) -> \
       kind[length] = what; att[length] = a; length++; set = set & ~BIT(a) } \
  :: d_step { length < LENGTH && HAS(set, a) && twice < TWICE -> \
       kind[length] = what; att[length] = a; length++; twice++ }

/* The log accepts records in any order, at most TWICE of them a second time. A record that never lands was lost. */
proctype Log(byte a) {
end:
  do
  LAND(flying_start, START)
  LAND(flying_not_run, NOT_RUN)
  LAND(flying_done, DONE)
  LAND(flying_unknown, UNKNOWN)
  od
}

init {
  byte i = 0;
  atomic {
    do
    :: i < ENTRIES -> run Entry(); i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < ATTEMPTS -> run Log(i); i++
    :: else -> break
    od
  }
}
