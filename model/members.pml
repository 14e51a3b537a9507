/* The query to the members: an entry may answer not_run only if no call with the key was sent
 * before it asked. One entry asks, a second is a member throughout, and a third joins, starts a
 * call and is removed while it runs. Reads of the two streams arrive late and independently; any
 * entry may pause between any two steps. */

#define ASKER 0
#define OTHER 1
#define JOINER 2

/* The streams: the roster stream holds the join and then the removal, the other the start record. */
byte roster = 0;  /* records in the roster stream: 0 = none, 1 = joined, 2 = joined and removed */
byte starts = 0;  /* 1 once the joiner's start record is in the log */

/* What each entry has folded. */
byte epoch[3];
byte next[3];

/* The joiner. */
bool lease = false;     /* it may act as a member */
byte acked = 0;         /* one bit for each entry that has confirmed that it folded the join */
bool sent = false;

/* The asker's query. */
bool asking = false;
bool sentBefore;        /* whether the call was sent before the query */
byte askedEpoch;
byte waiting;           /* one bit for each member that has not answered */
bool doubt;
byte ahead;
bool quiet = true;      /* no removed entry can be ahead of what the asker has read */
bool over = false;      /* the removed entry can no longer send a call */

#define BIT(e) (1 << (e))

#ifdef NO_ANNOUNCE
#define KNOWN true
#else
#define KNOWN (acked == (BIT(ASKER) | BIT(OTHER)))
#endif
#ifdef NO_QUIET
#define COMPLETE true
#else
#define COMPLETE quiet
#endif
#ifdef NO_LEASE
#define HELD true
#else
#define HELD lease
#endif

proctype Log() {
end:
  do
  :: d_step { roster == 0 -> roster = 1 }
  :: d_step { roster == 1 -> roster = 2 }
  :: d_step { starts == 0 && epoch[JOINER] == 1 -> starts = 1 }
  od
}

proctype Joiner() {
end:
  do
  /* a read that reaches the end of the roster renews the lease, or ends it after the removal */
  :: d_step { epoch[JOINER] < roster || roster == 1 -> epoch[JOINER] = roster; lease = (roster == 1) }
  :: d_step { lease -> lease = false }
  :: d_step { next[JOINER] < starts -> next[JOINER] = starts }
  /* it learns that a member has folded its join */
  :: d_step { epoch[JOINER] == 1 && epoch[ASKER] >= 1 -> acked = acked | BIT(ASKER) }
  :: d_step { epoch[JOINER] == 1 && epoch[OTHER] >= 1 -> acked = acked | BIT(OTHER) }
  /* it has won the key and sends the call */
  :: d_step { !sent && epoch[JOINER] == 1 && next[JOINER] == 1 && HELD && KNOWN -> sent = true }
  od
}

proctype Other() {
end:
  do
  :: d_step { epoch[OTHER] < roster -> epoch[OTHER]++ }
  :: d_step { next[OTHER] < starts -> next[OTHER]++ }
  od
}

proctype Asker() {
end:
  do
  :: d_step { epoch[ASKER] < roster -> epoch[ASKER]++;
       if
       :: epoch[ASKER] == 2 -> quiet = false
       :: else -> skip
       fi }
  :: d_step { next[ASKER] < starts -> next[ASKER]++ }
  /* the wait after folding the removal, in which the removed entry's lease ends */
  :: d_step { epoch[ASKER] == 2 && !over -> over = true; lease = false;
#ifndef NO_LEASE
       epoch[JOINER] = 2 /* a read that renewed the lease would have brought the removal */
#endif
     }
  /* a complete read that began after the wait */
#ifdef EARLY_READ
  :: d_step { epoch[ASKER] == 2 && !quiet -> next[ASKER] = starts; quiet = true }
#else
  :: d_step { over && !quiet -> next[ASKER] = starts; quiet = true }
#endif

  /* a call arrives whose start record cannot be ordered */
  :: d_step { !asking && next[ASKER] == 0 ->
       asking = true; sentBefore = sent; askedEpoch = epoch[ASKER]; doubt = false; ahead = 0;
       waiting = BIT(OTHER);
       if
       :: askedEpoch == 1 -> waiting = waiting | BIT(JOINER)
       :: else -> skip
       fi }
  :: d_step { asking && (waiting & BIT(OTHER)) -> waiting = waiting & ~BIT(OTHER);
       doubt = doubt || epoch[OTHER] > askedEpoch;
       if
       :: next[OTHER] > ahead -> ahead = next[OTHER]
       :: else -> skip
       fi }
  :: d_step { asking && (waiting & BIT(JOINER)) -> waiting = waiting & ~BIT(JOINER);
       doubt = doubt || epoch[JOINER] > askedEpoch;
       if
       :: next[JOINER] > ahead -> ahead = next[JOINER]
       :: else -> skip
       fi }
  :: d_step { asking && waiting == 0 ->
       asking = false;
       if
       :: !doubt && COMPLETE && ahead <= next[ASKER] && next[ASKER] == 0 -> assert(!sentBefore)
       :: else -> skip
       fi;
       sentBefore = false; askedEpoch = 0; doubt = false; ahead = 0 }
  od
}

init {
  atomic { run Log(); run Joiner(); run Other(); run Asker() }
}
