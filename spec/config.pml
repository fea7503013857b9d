/* Recorded, spread and accepted configuration (internal/share/config, peer).
 *
 * Two operators race to record changes through the store's compare-and-set on the
 * head, with answers that may be lost. Three routers install what they hear of
 * from the store, which may answer reads with an older revision or not at all, and
 * from each other. A router may be replaced by a diskless one at any time; it gets
 * ready from the store, or from a ready router that has heard of it first.
 *
 * Must hold: an accepted revision is in force on every ready router, and nothing
 * lower ever is again; each revision is recorded once.
 *
 * Mutants: LOWER, NO_CAS, READY_EMPTY, ACCEPT_EARLY, UNANNOUNCED. */

#define ROUTERS 3
#define OPERATORS 2
#define REVISIONS 2
#define RESTARTS 1

byte head = 0;                 /* the store's */
byte recordedBy[4];            /* how many changes were recorded under a revision */
byte accepted = 0;
byte inForce[ROUTERS];
bool ready[ROUTERS];
bool known[ROUTERS];           /* on the list that acceptance waits for */
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
  /* wait until every router that is known has it, then call it accepted */
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
  byte heard, from;
  do
  :: /* poll the store: a read may be old */
     atomic {
       if
       :: heard = head
       :: heard = 0
       :: head > 0 -> heard = head - 1
       fi
     };
     atomic {
#ifdef LOWER
       inForce[me] = heard;
#else
       if
       :: heard > inForce[me] -> inForce[me] = heard
       :: else
       fi;
#endif
       checkAll()
     }
  :: /* hear from a peer */
     from = (me + 1) % ROUTERS;
     atomic {
       heard = inForce[from];
       if
       :: heard > inForce[me] -> inForce[me] = heard
       :: else
       fi;
       checkAll()
     }
  :: restarts < RESTARTS && ready[me] ->
     /* the box is replaced: nothing is left, and it is not known any more */
     atomic { restarts++; ready[me] = false; known[me] = false; inForce[me] = 0 };
     from = (me + 2) % ROUTERS;
     if
     :: /* from the store, whose transaction shows the true head */
        atomic { known[me] = true; inForce[me] = head; ready[me] = true; checkAll() }
     :: /* the store is down: announce, then copy from a ready router */
#ifndef UNANNOUNCED
        known[me] = true;
#endif
        atomic { ready[from] -> heard = inForce[from] };
        atomic {
          if
          :: heard > inForce[me] -> inForce[me] = heard
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
