/* The configuration ledger. Answers to proposals are lost, and proposals are appended again at any
 * later time. Entries pause, restart, read from a log that drops old records, append snapshots and
 * restore the state of another entry. docs/MODEL.md maps the model to the code.
 */

#ifndef ENTRIES
#define ENTRIES 2
#endif
#define PROPOSALS 2
#define RECORDS 5
#define REPEATS 2   /* maximum repeated appends of proposals */
#define SNAPSHOTS 1 /* maximum snapshot records */
#define RESTARTS 1  /* maximum restarts of a process */
#define WINDOW 2    /* offsets for which an outcome is remembered */
#define CONF 1
#define SNAP 2

typedef Record {
  byte kind;
  byte id;       /* of a proposal */
  byte base;     /* of a proposal; in a snapshot, the version */
  byte covers;   /* in a snapshot, the first offset that it does not cover */
  byte known;    /* in a snapshot, one bit per remembered proposal */
};

Record log[RECORDS];
byte first, tail; /* the retained records are first to tail-1 */

/* The reference fold: it folds every record and remembers all ids. */
byte truth[RECORDS + 1]; /* the version after folding that number of records */
byte acceptedAt[PROPOSALS + 1];
bool seen[PROPOSALS + 1];

typedef Fold {
  byte next;
  byte version;
  byte told;
  byte floor;   /* the version that every other serving entry had when this process started */
  byte known;   /* one bit per remembered proposal */
  byte at[PROPOSALS + 1]; /* their offsets */
  bool current;
};

Fold e[ENTRIES];
byte repeats, snapshots, restarts;
bool proposed[PROPOSALS + 1];
byte baseOf[PROPOSALS + 1];

/* appendProposal appends a proposal to the log and to the reference fold. */
inline appendProposal(p) {
  log[tail].kind = CONF;
  log[tail].id = p;
  log[tail].base = baseOf[p];
  truth[tail + 1] = truth[tail];
  if
  :: !seen[p] && baseOf[p] == truth[tail] -> truth[tail + 1] = tail + 1; acceptedAt[p] = tail + 1
  :: else
  fi;
  seen[p] = true;
  tail++
}

inline appendSnapshot(i) {
  log[tail].kind = SNAP;
  log[tail].base = e[i].version;
  log[tail].covers = e[i].next;
  log[tail].known = e[i].known;
  truth[tail + 1] = truth[tail];
  tail++
}

/* forget drops the outcomes that are older than WINDOW. */
inline forget(i) {
  q = 1;
  do
  :: q <= PROPOSALS ->
    if
    :: (e[i].known & (1 << q)) && e[i].at[q] + WINDOW < e[i].next -> e[i].known = e[i].known & ~(1 << q); e[i].at[q] = 0
    :: else
    fi;
    q++
  :: else -> break
  od;
  q = 0
}

/* fold applies the next record and checks that the entry agrees with the reference fold. */
inline fold(i) {
  r = e[i].next;
  e[i].next = r + 1;
  if
  :: log[r].kind == CONF && !(e[i].known & (1 << log[r].id)) ->
    if
#ifdef BROKEN_REPEAT
    :: true ->
#else
    :: log[r].base == e[i].version ->
#endif
      assert(acceptedAt[log[r].id] == r + 1); /* a proposal is accepted only where the reference fold accepted it, so at most once */
      e[i].version = r + 1
#ifndef BROKEN_REPEAT
    :: else
#endif
    fi;
    e[i].known = e[i].known | (1 << log[r].id);
    e[i].at[log[r].id] = r
  :: else
  fi;
  r = 0;
  forget(i);
  assert(e[i].version == truth[e[i].next]) /* entries that have folded up to the same offset agree */
}

/* tell serves the folded version. */
inline tell(i) {
  if
#ifdef BROKEN_EARLY
  :: e[i].version > 0 ->
#else
  :: e[i].current ->
#endif
    assert(e[i].version >= e[i].told);  /* the served version never decreases on an entry */
    assert(e[i].version >= e[i].floor); /* a new process serves no version older than the other entry served when it started */
    e[i].told = e[i].version
  :: else
  fi
}

/* restore replaces the entry's state by one from a snapshot or another entry. */
inline restore(i) {
  e[i].next = gotCovers;
  e[i].version = gotVersion;
  e[i].known = gotKnown;
  q = 1;
  do
  :: q <= PROPOSALS ->
    e[i].at[q] = 0;
    if
    :: gotKnown & (1 << q) -> /* a real state holds the offset; the model looks it up in the log's history */
      r = 0;
      do
      :: r < gotCovers ->
        if
        :: log[r].kind == CONF && log[r].id == q && r + WINDOW >= gotCovers && e[i].at[q] == 0 -> e[i].at[q] = r
        :: else
        fi;
        r++
      :: else -> break
      od;
      r = 0
    :: else
    fi;
    q++
  :: else -> break
  od;
  q = 0;
  gotCovers = 0; gotVersion = 0; gotKnown = 0
}

/* entry takes steps at any time, with pauses of any length. */
proctype entry(byte i) {
  byte q, r, s, peer, gotCovers, gotVersion, gotKnown; /* scratch variables, zero between steps */
  do
  :: atomic { /* read the next record if the log retains it */
    e[i].next < tail && e[i].next >= first -> fold(i);
    if
    :: e[i].next == tail -> e[i].current = true
    :: else
    fi;
    tell(i)
  }
  :: atomic { /* the next record was dropped: continue from a snapshot whose next record is retained */
    e[i].next < first ->
#ifdef BROKEN_GAP
    e[i].next = first
#else
    s = first;
    do
    :: s < tail && log[s].kind == SNAP && log[s].covers >= first && log[s].covers > e[i].next ->
      gotCovers = log[s].covers; gotVersion = log[s].base; gotKnown = log[s].known;
      restore(i);
      break
    :: s < tail -> s++
    :: s >= tail -> break
    od;
    s = 0
#endif
  }
  :: atomic { /* restore the state of another entry that serves */
    peer = 1 - i;
    if
#ifdef BROKEN_PEER
    :: e[peer].next != e[i].next && e[peer].current ->
#else
    :: e[peer].next > e[i].next && e[peer].current ->
#endif
      gotCovers = e[peer].next; gotVersion = e[peer].version; gotKnown = e[peer].known;
      restore(i);
      e[i].current = true;
      tell(i)
    :: else
    fi;
    peer = 0
  }
  :: atomic { /* append a snapshot */
    e[i].current && e[i].next >= first && e[i].next > 0 && snapshots < SNAPSHOTS && tail < RECORDS ->
    snapshots++;
    appendSnapshot(i)
  }
  :: atomic { /* restart with empty state */
    restarts < RESTARTS ->
    restarts++;
    e[i].next = 0; e[i].version = 0; e[i].told = 0; e[i].known = 0; e[i].current = false; e[i].floor = 0;
    q = 1;
    do
    :: q <= PROPOSALS -> e[i].at[q] = 0; q++
    :: else -> break
    od;
    q = 0;
    if
    :: e[1 - i].current -> e[i].floor = e[1 - i].told
    :: else
    fi
  }
  od
}

/* proposer bases its proposal on the version that an entry serves, and may append it again at any later time. */
proctype proposer(byte p) {
  byte i;
  atomic {
    tail < RECORDS ->
    if
    :: i = 0
    :: i = 1
    fi;
    baseOf[p] = e[i].told;
    i = 0;
    proposed[p] = true;
    appendProposal(p)
  }
  do
  :: atomic { repeats < REPEATS && tail < RECORDS -> repeats++; appendProposal(p) }
  :: break
  od
}

/* retention drops the oldest record at any time. */
proctype retention() {
  do
  :: atomic { first < tail -> first++ }
  :: first >= RECORDS -> break
  od
}

init {
  byte n;
  atomic {
    do
    :: n < ENTRIES -> run entry(n); n++
    :: else -> break
    od;
    n = 1;
    do
    :: n <= PROPOSALS -> run proposer(n); n++
    :: else -> break
    od;
    n = 0;
    run retention()
  }
}
