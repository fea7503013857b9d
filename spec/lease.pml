/* Leases with epochs, and orders to targets (internal/share/lease).
 *
 * There are two holders. To the other holder, a lease may appear expired at any
 * moment, because a paused holder does not renew it. A paused holder resumes and
 * still sends late orders under its epoch. A response of the store may be lost
 * after the write took effect.
 *
 * Invariants: a target that checks epochs never executes an order of an older epoch
 * after one of a later epoch; two holders never have the same epoch; a target that
 * does not check epochs ends in the desired state, because the holder sends orders
 * until the reported state matches.
 *
 * Mutants: NO_FENCE, NO_BUMP, NO_CAS, ONCE. */

#define HOLDERS 2
#define STEPS 3

byte rowEpoch = 0, rowHolder = 0, rowVersion = 0;
byte takenBy[16];              /* holder of each epoch */
byte seenEpoch = 0;            /* highest epoch that the checking target has accepted */
byte lastRun = 0;              /* epoch of the last order that it executed */
byte desired = 1;               /* the recorded desired state; changes once */
byte plain = 0;                /* state of the target that does not check epochs */
bool settled = false;
byte finished = 0;

proctype Holder(byte me) {
  byte epoch = 0, version, holder, old, value, steps = 0;
  bool ok;
  do
  :: steps < STEPS ->
     steps++;
     /* take or renew the lease; the other's lease may or may not have expired */
     atomic { version = rowVersion; holder = rowHolder; old = rowEpoch };
     if
     :: holder == me -> value = old
     :: holder != me ->
#ifdef NO_BUMP
        value = (old == 0 -> 1 : old)
#else
        value = old + 1
#endif
     fi;
     atomic {
       ok = false;
#ifdef NO_CAS
       if
       :: true
#else
       if
       :: rowVersion == version
#endif
          -> rowVersion++; rowHolder = me; rowEpoch = value; ok = true;
             assert(takenBy[value] == 0 || takenBy[value] == me);
             takenBy[value] = me
       :: else
       fi
     };
     if
     :: ok -> epoch = value              /* the response arrived */
     :: true                             /* it was lost: the next step reads the row */
     fi;
     /* an order under this holder's epoch, which may be outdated */
     if
     :: epoch > 0 ->
        atomic {
#ifdef NO_FENCE
          if
          :: true
#else
          if
          :: epoch >= seenEpoch
#endif
             -> seenEpoch = (epoch > seenEpoch -> epoch : seenEpoch);
                assert(epoch >= lastRun);
                lastRun = epoch
          :: else
          fi
        };
        atomic { value = desired };
        plain = value                    /* late: the desired state may have changed */
     :: else
     fi
  :: steps == STEPS -> break
  od;
  finished++
}

proctype ChangeDesired() {
  desired = 2
}

/* Models the final lease holder, which sends orders until the reported state matches. */
proctype Reconciler() {
  finished == HOLDERS && desired == 2;
#ifndef ONCE
  do
  :: plain != desired -> plain = desired
  :: else -> break
  od;
#endif
  assert(plain == desired)
}

init {
  atomic { run Holder(1); run Holder(2); run ChangeDesired(); run Reconciler() }
}
