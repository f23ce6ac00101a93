/*
 * Ownership, start and hand-over of one gang job that is not idempotent.
 *
 * Two targets form pair A (0 and 1), two form pair B (2 and 3). The gang has two members;
 * either pair can run it. Host 0 owns pair A and may crash, pause or hand over at any point.
 * Host 1 owns pair B, tries to run the same job, and takes over pair A once its leases end.
 * A pause is a delay of any length between two steps of a host. A partition is a call that never arrives
 * or an answer that never returns. Time is counted in ticks of permits, leases and reservations;
 * the leases of host 1 are not contested and do not expire.
 *
 * Mutations, each of which must violate a property:
 *   DROP_EPOCH_CHECK     targets accept calls of any holder and epoch
 *   RETRY_AFTER_LOSS     a host treats a start without an answer as one that had no effect
 *   START_BEFORE_RECORD  a host starts the members first and writes the record afterwards
 *   IGNORE_PERMIT        a host starts without a valid permit
 */

#define PERMIT_TICKS 1
#define LEASE_TICKS 2
#define RESERVATION_TICKS 1
/* Latest time, in ticks after the evacuation of the zone, at which a start may be accepted. */
#define START_BOUND (PERMIT_TICKS + RESERVATION_TICKS)

#define NONE 0
#define RESERVED 1
#define RUNNING 2
#define ENDED 3

#define NOBODY 2

#ifdef RETRY_AFTER_LOSS
#define SECOND_OWNER_TRIES 2
#else
#define SECOND_OWNER_TRIES 1
#endif

byte task[4];
byte reservedFor[4];
byte holder[4];
byte epoch[4];
byte leaseLeft[4];
byte reservationLeft[4];

byte record = NOBODY; /* host whose attempt the job record in the store contains */
bool zoneOut;
byte outFor;

byte permitLeft[2];

bool hasCrashed;

chan startCall[4] = [2] of { byte, byte }; /* host, epoch */

byte runs[2]; /* number of starts of each member of the gang */

#ifdef DROP_EPOCH_CHECK
#define MAY_CALL(t, h, e) (true)
#else
#define MAY_CALL(t, h, e) (holder[t] == h && epoch[t] == e && leaseLeft[t] > 0)
#endif

/* A target accepts a start only for its reservation and only from the holder of its lease. */
inline handleStart(t, h, e)
{
    if
    :: true -> skip /* the call is lost in transit */
    :: task[t] == RESERVED && reservedFor[t] == h && MAY_CALL(t, h, e) ->
        task[t] = RUNNING;
        reservationLeft[t] = 0;
        runs[t % 2]++;
        assert(runs[t % 2] <= 1);
        assert(outFor <= START_BOUND)
    :: !(task[t] == RESERVED && reservedFor[t] == h && MAY_CALL(t, h, e)) -> skip /* refused */
    fi
}

/* Delivers start calls in any order, at any time. */
proctype Network()
{
    byte h;
    byte e;
end:
    do
    :: atomic { startCall[0]?h, e -> handleStart(0, h, e) }
    :: atomic { startCall[1]?h, e -> handleStart(1, h, e) }
    :: atomic { startCall[2]?h, e -> handleStart(2, h, e) }
    :: atomic { startCall[3]?h, e -> handleStart(3, h, e) }
    od
}

inline tickTarget(t)
{
    if
    :: leaseLeft[t] > 0 && holder[t] == 0 -> leaseLeft[t]--
    :: else
    fi;
    if
    :: task[t] == RESERVED && reservationLeft[t] > 0 -> reservationLeft[t]--
    :: task[t] == RESERVED && reservationLeft[t] == 0 ->
        task[t] = NONE;
        reservedFor[t] = NOBODY
    :: else
    fi
}

inline tickHost(h)
{
    if
    :: permitLeft[h] > 0 -> permitLeft[h]--
    :: else
    fi
}

#define IS_TARGET_TICKING(t) ((holder[t] == 0 && leaseLeft[t] > 0) || task[t] == RESERVED)

proctype Clock()
{
end:
    do
    :: atomic {
        (IS_TARGET_TICKING(0) || IS_TARGET_TICKING(1) || IS_TARGET_TICKING(2) || IS_TARGET_TICKING(3)
         || permitLeft[0] > 0 || permitLeft[1] > 0 || (zoneOut && outFor <= START_BOUND)) ->
        tickTarget(0);
        tickTarget(1);
        tickTarget(2);
        tickTarget(3);
        tickHost(0);
        tickHost(1);
        if
        :: zoneOut && outFor <= START_BOUND -> outFor++
        :: else
        fi
    }
    od
}

proctype Operator()
{
    if
    :: zoneOut = true
    :: true -> skip
    fi
}

/* Rule 1 of the permit: it is valid from the time the read was sent, so an answer that arrives a tick later yields none. */
inline renewPermit(h)
{
    atomic {
        if
        :: !zoneOut -> permitLeft[h] = PERMIT_TICKS
        :: else
        fi
    }
}

/* Reserves on both targets; a refusal by one releases the other. */
inline reserve(h, t)
{
    atomic {
        if
        :: task[t] == NONE && task[t + 1] == NONE && MAY_CALL(t, h, myEpoch[t]) && MAY_CALL(t + 1, h, myEpoch[t + 1]) ->
            task[t] = RESERVED;
            task[t + 1] = RESERVED;
            reservedFor[t] = h;
            reservedFor[t + 1] = h;
            reservationLeft[t] = RESERVATION_TICKS;
            reservationLeft[t + 1] = RESERVATION_TICKS;
            isFine = true
        :: else -> isFine = false
        fi
    }
}

/* Stops a task or drops its reservation. A host that has lost the lease is refused; the new holder decides. */
inline stop(h, t)
{
    atomic {
        if
        :: !MAY_CALL(t, h, myEpoch[t]) -> isFine = false
        :: MAY_CALL(t, h, myEpoch[t]) && task[t] == RUNNING ->
            task[t] = ENDED;
            reservedFor[t] = NOBODY
        :: MAY_CALL(t, h, myEpoch[t]) && task[t] == RESERVED && reservedFor[t] == h ->
            task[t] = NONE;
            reservedFor[t] = NOBODY
        :: else
        fi
    }
}

/* Drops a host's own reservation. The call names the attempt, so it stops no task of another attempt. */
inline drop(h, t)
{
    atomic {
        if
        :: MAY_CALL(t, h, myEpoch[t]) && task[t] == RESERVED && reservedFor[t] == h ->
            task[t] = NONE;
            reservedFor[t] = NOBODY
        :: else
        fi
    }
}

/* Host 1 renews its lease, or takes over a lease that has ended, with a higher epoch. */
inline acquire(t)
{
    atomic {
        (leaseLeft[t] == 0 || holder[t] == 1) ->
        if
        :: holder[t] != 1 ->
            epoch[t]++;
            holder[t] = 1;
            myEpoch[t] = epoch[t]
        :: else
        fi;
        leaseLeft[t] = LEASE_TICKS
    }
}

/* Host 1 retries until the stop succeeds. Only the successful attempt is modelled, since the lease may end between attempts. */
inline stopSurely(t)
{
    atomic {
        acquire(t);
        stop(1, t)
    }
}

/* The record is written under a condition; after a lost answer the host reads it back. */
inline writeRecord(h)
{
    atomic {
        if
        :: record == NOBODY -> record = h
        :: true -> skip /* the call is lost in transit */
        fi;
        isFine = (record == h)
    }
}

inline sendStarts(h, t)
{
    atomic {
        if
#ifdef IGNORE_PERMIT
        :: true ->
#else
        :: permitLeft[h] > 0 ->
#endif
            startCall[t]!h, myEpoch[t];
            startCall[t + 1]!h, myEpoch[t + 1];
            isFine = true
        :: else -> isFine = false
        fi
    }
}

/* One attempt on targets t and t + 1. hasEnded is set once this host must not start the job again. */
inline attempt(h, t)
{
    hasEnded = false;
    reserve(h, t);
#ifndef START_BEFORE_RECORD
    if
    :: isFine -> writeRecord(h)
    :: else
    fi;
#endif
    if
    :: isFine -> sendStarts(h, t)
    :: else
    fi;
    if
    :: !isFine ->
        drop(h, t);
        drop(h, t + 1);
        hasEnded = (record == h)
    :: else ->
        hasEnded = true;
#ifdef START_BEFORE_RECORD
        writeRecord(h);
#endif
        /* The answers may be late or lost, so the host may continue at any time. */
        /* The host queries the targets and stops a gang that runs only in part. */
        if
        :: task[t] == RUNNING && task[t + 1] == RUNNING
        :: else ->
            if
            :: h == 1 ->
                stopSurely(t);
                stopSurely(t + 1)
            :: else ->
                stop(h, t);
                stop(h, t + 1)
            fi
#ifdef RETRY_AFTER_LOSS
            ;
            hasEnded = false
#endif
        fi
    fi
}

proctype FirstOwner()
{
    byte myEpoch[4] = 1;
    bool isFine;
    bool hasEnded;
    byte reads;
    byte tries;
    do
    :: reads < 1 ->
        reads++;
        renewPermit(0)
    :: tries < 1 ->
        tries++;
        attempt(0, 0)
    :: atomic {
        /* Hand-over: a planned stop releases the leases, regardless of running tasks. */
        if
        :: holder[0] == 0 -> leaseLeft[0] = 0
        :: else
        fi;
        if
        :: holder[1] == 0 -> leaseLeft[1] = 0
        :: else
        fi;
        break
    }
    :: break /* crash */
    od unless { hasCrashed }
}

proctype SecondOwner()
{
    byte myEpoch[4] = 1;
    bool isFine;
    bool hasEnded;
    bool hasTakenOver;
    byte reads;
    byte tries;
    do
    :: reads < 2 ->
        reads++;
        renewPermit(1)
    :: tries == 0 ->
        tries++;
        acquire(2);
        acquire(3);
        attempt(1, 2)
    :: hasTakenOver && tries < SECOND_OWNER_TRIES && !hasEnded ->
        tries++;
        acquire(0);
        acquire(1);
        attempt(1, 0)
    :: !hasTakenOver ->
        /* Once both targets are fenced, no further tasks can start there, so a single read of their reports decides. */
        acquire(0);
        acquire(1);
        if
        :: task[0] == RUNNING && task[1] == RUNNING
        :: else ->
            stopSurely(0);
            stopSurely(1)
        fi;
        hasTakenOver = true
    :: hasTakenOver -> break
    od
}

/* The first owner may crash at any step. */
proctype Crash()
{
    if
    :: hasCrashed = true
    :: true -> skip
    fi
}

/* In every final state, the gang runs completely or not at all, and on one pair only. */
proctype Check()
{
    timeout ->
    assert((task[0] == RUNNING) == (task[1] == RUNNING));
    assert((task[2] == RUNNING) == (task[3] == RUNNING));
    assert(!(task[0] == RUNNING && task[2] == RUNNING))
}

init
{
    atomic {
        byte t;
        for (t : 0 .. 3) {
            holder[t] = t / 2;
            reservedFor[t] = NOBODY;
            epoch[t] = 1;
            leaseLeft[t] = LEASE_TICKS
        };
        run Network();
        run Clock();
        run Operator();
        run FirstOwner();
        run SecondOwner();
        run Crash();
        run Check()
    }
}
