/* Recording, distribution and acceptance of configuration (internal/share/config,
 * peer).
 *
 * Two operators race to record changes by compare-and-set on the head in the
 * store; responses may be lost. Three routers install revisions that they receive
 * from the store, which may return an older revision or not respond, and from
 * each other. A router may be replaced at any time by one without local state; it
 * becomes ready from the store, or from a ready router whose membership view
 * already includes it.
 *
 * Invariants: an accepted revision is in force on every ready router, and no lower
 * revision is in force there afterwards; each revision is recorded once.
 *
 * Mutants: LOWER, NO_CAS, READY_EMPTY, ACCEPT_EARLY, UNANNOUNCED. */

#define ROUTERS 3
#define OPERATORS 2
#define REVISIONS 2
#define RESTARTS 1

byte head = 0;                 /* revision in the store */
byte recordedBy[4];            /* number of changes recorded per revision */
byte accepted = 0;
byte inForce[ROUTERS];
bool ready[ROUTERS];
bool known[ROUTERS];           /* acceptance waits for this router */
byte restarts = 0;

#define HOLDS(i) (!ready[i] || inForce[i] >= accepted)

inline checkAll() {
  assert(HOLDS(0) && HOLDS(1) && HOLDS(2))
}

proctype Operator() {
  byte seen, mine = 0;
  do
  :: head < REVISIONS ->
     seen = head;
     atomic {
#ifdef NO_CAS
       if
       :: seen < REVISIONS
#else
       if
       :: head == seen && seen < REVISIONS
#endif
          -> head = seen + 1; recordedBy[seen + 1]++; mine = seen + 1;
             assert(recordedBy[seen + 1] == 1)
       :: else
       fi
     };
     if
     :: mine > 0 -> break
     :: else
     fi
  :: head >= REVISIONS -> break
  od;
  /* the revision is accepted once it is in force on every known router */
  if
  :: mine > 0 ->
#ifdef ACCEPT_EARLY
     atomic {
#else
     atomic {
       (!known[0] || inForce[0] >= mine) && (!known[1] || inForce[1] >= mine) && (!known[2] || inForce[2] >= mine) ->
#endif
       if
       :: mine > accepted -> accepted = mine
       :: else
       fi;
       checkAll()
     }
  :: else
  fi
}

proctype Router(byte me) {
  byte received, from;
  do
  :: /* poll the store: a read may be stale */
     atomic {
       if
       :: received = head
       :: received = 0
       :: head > 0 -> received = head - 1
       fi
     };
     atomic {
#ifdef LOWER
       inForce[me] = received;
#else
       if
       :: received > inForce[me] -> inForce[me] = received
       :: else
       fi;
#endif
       checkAll()
     }
  :: /* receive from a peer */
     from = (me + 1) % ROUTERS;
     atomic {
       received = inForce[from];
       if
       :: received > inForce[me] -> inForce[me] = received
       :: else
       fi;
       checkAll()
     }
  :: restarts < RESTARTS && ready[me] ->
     /* the box is replaced: its state is lost and it is no longer known */
     atomic { restarts++; ready[me] = false; known[me] = false; inForce[me] = 0 };
     from = (me + 2) % ROUTERS;
     if
     :: /* from the store, whose transaction returns the current head */
        atomic { known[me] = true; inForce[me] = head; ready[me] = true; checkAll() }
     :: /* the store is down: announce itself, then copy from a ready router */
#ifndef UNANNOUNCED
        known[me] = true;
#endif
        atomic { ready[from] -> received = inForce[from] };
        atomic {
          if
          :: received > inForce[me] -> inForce[me] = received
          :: else
          fi
        };
        atomic { known[me] = true; ready[me] = true; checkAll() }
#ifdef READY_EMPTY
     :: atomic { known[me] = true; ready[me] = true; checkAll() }
#endif
     fi
  :: inForce[me] == REVISIONS -> break
  od
}

init {
  atomic {
    byte i = 0;
    do
    :: i < ROUTERS -> ready[i] = true; known[i] = true; run Router(i); i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < OPERATORS -> run Operator(); i++
    :: else -> break
    od
  }
}
