/* Lease of the coordinator, the instance that sends orders to backend servers. Steps are named after
 * src/core/coordinator_lease.cpp; orders are those of src/gateway/control_plane.cpp.
 *
 * Two instances take a lease by conditional appends to a log; the clock counts ticks. The answer to an append may be lost.
 * The holder orders a backend server to hold a range and states the count of orders that the server has begun. An order
 * may be executed late, also after the lease has passed on, and the server may restart in between, which clears its count
 * and its range. The holder may pause at any step. An instance may restart: it then knows nothing, and takes the lease over
 * from its own former incarnation without waiting.
 *
 * Checked: two instances never hold the lease at the same time; a late order never undoes a newer one that the server has
 * begun since its start.
 *
 * FAULTS: NO_CONDITION NO_TAKEOVER_WAIT NO_EXPECTED_COUNT
 */
#define HOLD_TICKS 2      /* a holder may act for so long after it began its last append */
#define TAKEOVER_TICKS 3  /* another instance waits for so long after it first saw the newest entry */
#define MAX_TICKS 6
#define MAX_LOG_ENTRIES 2
#define NO_HOLDER 2       /* instances are 0 and 1 */

byte now = 0;
byte logEnd = 0;             /* entries in the log */
byte newest = NO_HOLDER;     /* holder named by the newest entry */
byte heldSince[2] = 255;     /* begin of the append that acquired the lease, 255 = not held */
byte serverOrderCount = 0;   /* orders that the server has begun since its start */
byte serverRange = 0;        /* range that the server holds, 0 = none */
byte newestBegun = 0;        /* number of the newest order that the server has begun since its start */
byte orders = 0;             /* orders sent so far */
byte restarts = 0;           /* restarts of an instance */
bool newerOrderUndone = false; /* an order was executed after a newer one */
chan late = [2] of { byte, byte, byte }; /* orders in flight: order number, range, expected count */

#define holds(i) (heldSince[i] != 255 && now - heldSince[i] < HOLD_TICKS)

proctype clock()
{
    do
    :: now < MAX_TICKS -> now++
    :: now == MAX_TICKS -> break
    od
}

proctype instance(byte me)
{
    byte seenEnd = 0;            /* log end, holder and time of the last read or answered append */
    byte seenHolder = NO_HOLDER;
    byte seenAt = 0;
    byte appendBegan;
    byte expectedCount;
    do
    :: now == MAX_TICKS -> break
    :: now < MAX_TICKS ->
        if
        :: atomic { /* Step READ */
            (seenEnd != logEnd) ->
                seenEnd = logEnd;
                seenHolder = newest;
                seenAt = now;
                if
                :: newest != me -> heldSince[me] = 255
                :: else -> skip
                fi
            }
        :: atomic { /* Step SEND */
#ifndef NO_TAKEOVER_WAIT
            (logEnd < MAX_LOG_ENTRIES && (seenHolder == NO_HOLDER || seenHolder == me || now - seenAt >= TAKEOVER_TICKS)) ->
#else
            (logEnd < MAX_LOG_ENTRIES) ->
#endif
                appendBegan = now
            };
            atomic { /* Step APPEND, at the store */
                if
#ifndef NO_CONDITION
                :: logEnd == seenEnd && logEnd < MAX_LOG_ENTRIES ->
#else
                :: logEnd < MAX_LOG_ENTRIES ->
#endif
                    logEnd++;
                    newest = me;
                    if
                    :: seenEnd = logEnd; seenHolder = me; seenAt = appendBegan; heldSince[me] = appendBegan /* answered */
                    :: skip /* the answer is lost: a later read shows the entry */
                    fi
                :: else -> skip
                fi
            }
        :: atomic { /* Step ORDER: reads the server's order count, then sends an order, which may be executed later */
            (holds(me) && orders < 2) -> expectedCount = serverOrderCount
            };
            atomic {
                if
                :: holds(me) && orders < 2 && nfull(late) -> orders++; late ! orders, me + 1, expectedCount
                :: else -> skip
                fi
            }
        :: atomic { /* Step RESTART */
            (restarts < 1) ->
                restarts++;
                heldSince[me] = 255;
                seenEnd = 0;
                seenHolder = NO_HOLDER;
                seenAt = now
            }
        :: skip /* paused */
        fi
    od
}

proctype server()
{
    byte number; byte range; byte expectedCount;
endServer:
    do
    :: atomic { late ?? number, range, expectedCount ->
        if
#ifndef NO_EXPECTED_COUNT
        :: expectedCount == serverOrderCount ->
#else
        :: true ->
#endif
            if
            :: number < newestBegun -> newerOrderUndone = true
            :: else -> newestBegun = number
            fi;
            serverOrderCount++;
            serverRange = range
#ifndef NO_EXPECTED_COUNT
        :: else -> skip
#endif
        fi
        }
    :: atomic { /* an order is overtaken by the next one */
        (late ?? [number, range, expectedCount] && len(late) == 2) ->
            late ? number, range, expectedCount; late ! number, range, expectedCount
        }
    od
}

/* Checks the two invariants. */
proctype monitor()
{
endMonitor:
    do
    :: atomic { (holds(0) && holds(1)) -> assert(false) }
    :: atomic { newerOrderUndone -> assert(false) }
    od
}

init
{
    atomic { run clock(); run instance(0); run instance(1); run server(); run monitor() }
}
