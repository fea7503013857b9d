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
mtype = { unsaid, not_run, unknown, finished };

mtype state = none;     /* of the claim's row */
byte owner = 0;         /* attempt that wrote the row */
byte version = 0;
byte runs = 0;
byte attempts = 0;
bool ran[8];            /* indexed by attempt */

inline commit(ok, lost, mine, seen, want) {
  atomic {
    ok = false; lost = false;
#ifdef NO_CHECK
    if
    :: true
#else
    if
    :: version == seen
#endif
       -> state = want; owner = mine; version++; ok = true;
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
  mtype told;

again:
  if
  :: tries == TRIES -> goto end
  :: else -> tries++
  fi;
  atomic { attempts++; mine = attempts };
  held = false; told = unsaid; seen = 0;

begin:
  commit(ok, lost, mine, seen, sent);
  if
  :: ok && !lost -> seen = version; held = true; goto holding
  :: else
  fi;
  if
  :: told = not_run; goto tell           /* abort: nothing was sent or will be */
  :: skip
  fi;
  /* the response was lost or another attempt holds the claim: read the row */
  atomic { row = state; rowOwner = owner; seen = version };
  if
  :: rowOwner == mine && row == sent -> held = true
  :: row == none -> seen = 0; goto begin
  :: row == released -> goto begin
  :: row == done -> told = finished; goto tell
  :: row == sent && rowOwner != mine ->
#ifdef TAKEOVER
     if
     :: held = true                     /* assumes that the other claim has expired */
     :: told = unknown; goto tell
     fi
#else
     told = unknown; goto tell
#endif
  fi;

holding:
  if
  :: goto end                            /* crash: the row stays in state sent */
  :: skip                                /* send */
  :: told = not_run; goto release        /* the target is unreachable */
  fi;

send:
  atomic { runs++; ran[mine] = true };
  if
  :: skip                                /* the target answered */
     commit(ok, lost, mine, seen, done); told = finished
  :: told = unknown                      /* the answer was lost */
#ifdef RESEND
  :: goto send
#endif
#ifdef RELEASE_SENT
  :: told = unknown; goto release
#endif
  :: goto end                            /* crash */
  fi;
  goto tell;

release:
  commit(ok, lost, mine, seen, released);

tell:
  assert(told != not_run || !ran[mine]);
  if
  :: goto again                          /* the caller retries */
  :: skip
  fi;
end:
  assert(told != not_run || !ran[mine]);
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
