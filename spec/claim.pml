/* At most once over a table service (internal/share/claim).
 *
 * Two routers get requests with the same key. The store's answers may be lost
 * after the write took effect; a router may crash or pause between any two steps
 * (a pause is the other router's steps coming between). The target may lose its
 * answer after it ran the request.
 *
 * Must hold: the request runs at most once; a caller that is told "not run" is
 * right, then and later.
 *
 * Mutants: TAKEOVER, RESEND, NO_CHECK, RELEASE_SENT. */

#define ROUTERS 2
#define TRIES 2

mtype = { none, sent, done, released };
mtype = { unsaid, not_run, unknown, finished };

mtype state = none;     /* the claim's row */
byte owner = 0;         /* attempt that wrote it */
byte version = 0;
byte runs = 0;
byte attempts = 0;
bool ran[8];            /* by attempt */

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
  :: told = not_run; goto tell           /* gives up: nothing was sent, and nothing will be */
  :: skip
  fi;
  /* the answer was lost, or somebody is there: read the row back */
  atomic { row = state; rowOwner = owner; seen = version };
  if
  :: rowOwner == mine && row == sent -> held = true
  :: row == none -> seen = 0; goto begin
  :: row == released -> goto begin
  :: row == done -> told = finished; goto tell
  :: row == sent && rowOwner != mine ->
#ifdef TAKEOVER
     if
     :: held = true                     /* it seems to have lapsed */
     :: told = unknown; goto tell
     fi
#else
     told = unknown; goto tell
#endif
  fi;

holding:
  if
  :: goto end                            /* crash: the claim stays sent */
  :: skip                                /* send */
  :: told = not_run; goto release        /* could not reach the target */
  fi;

send:
  atomic { runs++; ran[mine] = true };
  if
  :: skip                                /* answered */
     commit(ok, lost, mine, seen, done); told = finished
  :: told = unknown                      /* the answer is lost */
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
  :: goto again                          /* the caller asks once more */
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
