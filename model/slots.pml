/* One slot of a cold upstream that changes its owner. Entries pause between any two steps, reads and
 * answers arrive late, and the epoch changes at any time. docs/MODEL.md maps the model to the code.
 */

#define ENTRIES 2
#define NONE 2     /* the owner if no entry owns the slot */
#define CHANGES 2  /* maximum changes of the owner */
#define END 4      /* the last time */
#define LEASE 2
#define HOLD 1
#define WAIT (LEASE + HOLD)

byte now;
byte owner[CHANGES + 1]; /* by epoch */
byte tail;               /* the newest epoch in the log */

typedef Entry {
  byte epoch;            /* the newest one folded */
  byte until;            /* when the lease ends */
  bool reading;
  byte asked;            /* when the read began */
  byte got;              /* the newest epoch in the read */
  byte lostAt[ENTRIES];  /* when this entry folded the loss of the slot by another one, plus 1; 0 if none */
  byte lostIn[ENTRIES];  /* the epoch of that loss */
  byte heard[ENTRIES];   /* the newest epoch in which another one has reported to have settled */
  bool using;
  byte since;
  bool decided;          /* used only if the check precedes the pause */
};

Entry e[ENTRIES];
byte answer[ENTRIES]; /* the epoch in an entry's settled answer in transit to the other, plus 1; 0 if none */
byte users;

/* free is true if each earlier owner has settled or the wait has passed. */
#ifdef BROKEN_WAIT
#define gone(i, j) (true)
#else
#define gone(i, j) (e[i].lostAt[j] == 0 || now >= e[i].lostAt[j] - 1 + WAIT || e[i].heard[j] >= e[i].lostIn[j])
#endif
#define free(i) gone(i, (1 - i))
#define may(i) (owner[e[i].epoch] == i && now < e[i].until && free(i))

inline begin(i) {
  e[i].using = true;
  e[i].since = now;
  users++;
  assert(users <= 1)
}

/* fold applies the epochs in a read one by one and renews the lease. */
inline fold(i) {
  do
  :: e[i].epoch < e[i].got ->
    if
    :: owner[e[i].epoch] != NONE && owner[e[i].epoch] != owner[e[i].epoch + 1] ->
      e[i].lostAt[owner[e[i].epoch]] = now + 1;
      e[i].lostIn[owner[e[i].epoch]] = e[i].epoch + 1
    :: else
    fi;
    e[i].epoch++
  :: else -> break
  od;
#ifdef BROKEN_LEASE
  e[i].until = now + LEASE;
#else
  e[i].until = e[i].asked + LEASE;
#endif
  e[i].reading = false;
  e[i].asked = 0;
  e[i].got = 0
}

proctype entry(byte i) {
end:
  do
  :: d_step { !e[i].reading -> e[i].reading = true; e[i].asked = now; e[i].got = tail }
  :: d_step { e[i].reading -> fold(i) }
#ifdef BROKEN_CHECK
  :: d_step { !e[i].using && !e[i].decided && may(i) -> e[i].decided = true }
  :: d_step { e[i].decided -> e[i].decided = false; begin(i) }
#else
  :: d_step { !e[i].using && may(i) -> begin(i) }
#endif
  :: d_step { /* answer the other entry once this one has folded that it does not own the slot and no longer uses it */
      !e[i].using && owner[e[i].epoch] != i && answer[i] == 0 ->
#ifdef BROKEN_SETTLED
      answer[i] = tail + 1
#else
      answer[i] = e[i].epoch + 1
#endif
    }
  :: d_step { /* receive an answer */
      answer[1 - i] > 0 ->
      if
      :: answer[1 - i] - 1 > e[i].heard[1 - i] -> e[i].heard[1 - i] = answer[1 - i] - 1
      :: else
      fi;
      answer[1 - i] = 0
    }
  od
}

/* upstream ends each request after HOLD at the latest, even if its entry is paused. */
proctype upstream() {
end:
  do
  :: d_step { e[0].using -> e[0].using = false; e[0].since = 0; users-- }
  :: d_step { e[1].using -> e[1].using = false; e[1].since = 0; users-- }
  od
}

#define overdue(i) (e[i].using && now >= e[i].since + HOLD)

proctype clock() {
end:
  do
  :: d_step { now < END && !overdue(0) && !overdue(1) -> now++ }
  od
}

/* roster changes the owner at any time. */
proctype roster() {
  byte next;
end:
  do
  :: atomic { tail < CHANGES -> select(next : 0 .. 2); owner[tail + 1] = next; tail++; next = 0 }
  od
}

init {
  atomic {
    run entry(0);
    run entry(1);
    run upstream();
    run clock();
    run roster()
  }
}
