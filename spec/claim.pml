/* At-most-once execution by claims in a table service (internal/share/claim).
 *
 * Two routers receive requests with the same key. A response of the store may be
 * lost after the write took effect. A router may crash or pause between any two
 * steps; a pause is modelled by interleaved steps of the other router. The
 * target's answer may be lost after the target ran the request.
 *
 * Invariants: the request runs at most once; an attempt whose caller received "not
 * run" has not run and does not run later.
 *
 * Mutants: TAKEOVER, RESEND, NO_CHECK, RELEASE_SENT. */

#define ROUTERS 2
#define TRIES 2

mtype = { none, sent, done, released };
mtype = { undecided, not_run, unknown, finished };

mtype state = none;     /* of the claim's row */
byte owner = 0;         /* attempt that wrote the row */
byte version = 0;
byte runs = 0;
byte attempts = 0;
bool ran[8];            /* indexed by attempt */

inline commit(ok, lost, mine, seen, newState) {
  atomic {
    ok = false; lost = false;
#ifdef NO_CHECK
    if
    :: true
#else
    if
    :: version == seen
#endif
       -> state = newState; owner = mine; version++; ok = true;
          if :: true :: lost = true fi
    :: else
    fi
  }
}

proctype Router() {
  byte mine, seen, tries = 0;
  mtype row;
  byte rowOwner;
  bool ok, lost, held;
  mtype outcome;

again:
  if
  :: tries == TRIES -> goto end
  :: else -> tries++
  fi;
  atomic { attempts++; mine = attempts };
  held = false; outcome = undecided; seen = 0;

begin:
  commit(ok, lost, mine, seen, sent);
  if
  :: ok && !lost -> seen = version; held = true; goto holding
  :: else
  fi;
  if
  :: outcome = not_run; goto respond           /* abort: nothing was sent or will be */
  :: skip
  fi;
  /* the response was lost or another attempt holds the claim: read the row */
  atomic { row = state; rowOwner = owner; seen = version };
  if
  :: rowOwner == mine && row == sent -> held = true
  :: row == none -> seen = 0; goto begin
  :: row == released -> goto begin
  :: row == done -> outcome = finished; goto respond
  :: row == sent && rowOwner != mine ->
#ifdef TAKEOVER
     if
     :: held = true                     /* assumes that the other claim has expired */
     :: outcome = unknown; goto respond
     fi
#else
     outcome = unknown; goto respond
#endif
  fi;

holding:
  if
  :: goto end                            /* crash: the row stays in state sent */
  :: skip                                /* send */
  :: outcome = not_run; goto release        /* the target is unreachable */
  fi;

send:
  atomic { runs++; ran[mine] = true };
  if
  :: skip                                /* the target answered */
     commit(ok, lost, mine, seen, done); outcome = finished
  :: outcome = unknown                      /* the answer was lost */
#ifdef RESEND
  :: goto send
#endif
#ifdef RELEASE_SENT
  :: outcome = unknown; goto release
#endif
  :: goto end                            /* crash */
  fi;
  goto respond;

release:
  commit(ok, lost, mine, seen, released);

respond:
  assert(outcome != not_run || !ran[mine]);
  if
  :: goto again                          /* the caller retries */
  :: skip
  fi;
end:
  assert(outcome != not_run || !ran[mine]);
  assert(runs <= 1)
}

init {
  atomic {
    byte i = 0;
    do
    :: i < ROUTERS -> run Router(); i++
    :: else -> break
    od
  }
}
