/* Leases with epochs, and orders to targets (internal/share/lease).
 *
 * Two holders. A lease may lapse at any moment as far as the other can tell: that
 * is what a paused holder looks like. The paused holder wakes and still sends
 * orders under its epoch, late. Answers of the store may be lost after the write.
 *
 * Must hold: a target that checks never follows an order of an older epoch after
 * one of a later epoch; two holders never have the same epoch; a target that does
 * not check ends with what is wanted, since the holder sends until the report matches.
 *
 * Mutants: NO_FENCE, NO_BUMP, NO_CAS, ONCE. */

#define HOLDERS 2
#define STEPS 3

byte rowEpoch = 0, rowHolder = 0, rowVersion = 0;
byte takenBy[16];              /* which holder had an epoch */
byte seenEpoch = 0;            /* the checking target's */
byte lastRun = 0;              /* epoch of the order that it followed last */
byte wanted = 1;               /* the recorded wish; changes once */
byte plain = 0;                /* the state of the target that does not check */
bool settled = false;
byte finished = 0;

proctype Holder(byte me) {
  byte epoch = 0, version, holder, old, order, steps = 0;
  bool ok;
  do
  :: steps < STEPS ->
     steps++;
     /* take or renew; whether the other's lease has lapsed is anybody's guess */
     atomic { version = rowVersion; holder = rowHolder; old = rowEpoch };
     if
     :: holder == me -> order = old
     :: holder != me ->
#ifdef NO_BUMP
        order = (old == 0 -> 1 : old)
#else
        order = old + 1
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
          -> rowVersion++; rowHolder = me; rowEpoch = order; ok = true;
             assert(takenBy[order] == 0 || takenBy[order] == me);
             takenBy[order] = me
       :: else
       fi
     };
     if
     :: ok -> epoch = order              /* the answer came */
     :: true                             /* it was lost: the next step reads it back */
     fi;
     /* an order under the epoch that this holder believes in, perhaps long after */
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
        atomic { order = wanted };
        plain = order                    /* late: the wish may have changed */
     :: else
     fi
  :: steps == STEPS -> break
  od;
  finished++
}

proctype Wish() {
  wanted = 2
}

/* Whoever holds the lease when the others are quiet sends until the report matches. */
proctype Settler() {
  finished == HOLDERS && wanted == 2;
#ifndef ONCE
  do
  :: plain != wanted -> plain = wanted
  :: else -> break
  od;
#endif
  assert(plain == wanted)
}

init {
  atomic { run Holder(1); run Holder(2); run Wish(); run Settler() }
}
