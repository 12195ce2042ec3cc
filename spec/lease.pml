/* Leases, fencing numbers and orders. Steps are named after src/core/lease.cpp.
 *
 * Time is a shared counter. Holder A may pause at any step, since the clock may advance between any two. Holder B takes the
 * lease over once it has expired by the clock of the log and the orders sent under it can no longer take effect. An order
 * takes effect within ORDER_LIFETIME of its send or not at all. The engine may ignore fencing numbers; then only this wait
 * protects it.
 *
 * FAULTS: NO_ORDER_WAIT NO_DEADLINE_CHECK TERM_FROM_ANSWER
 */
#define TERM 3           /* ticks for which a renewal is valid */
#define ORDER_LIFETIME 2 /* ticks after its send within which an order may take effect */
#define END_TIME 12      /* tick at which the run ends */

byte now = 0;
byte renewedAt = 0;    /* time in the log of A's last renewal */
byte validUntil = 0;   /* A's own deadline: send time of its last renewal + TERM */
bool bHolds = false;
byte bSince = 0;
bool orderInFlight = false;
byte orderSentAt = 0;
byte current = 1;      /* fencing number of the lease in force */
byte engineFence = 0;  /* highest fencing number of an order that took effect */
bool stale = false;    /* an order took effect after one with a higher fencing number */

proctype clock()
{
    do
    :: atomic { now < END_TIME && (!orderInFlight || now < orderSentAt + ORDER_LIFETIME) -> now++ }
    :: now >= END_TIME -> break
    od
}

proctype holderA()
{
    byte sentAt = 0;
    validUntil = TERM;
    do
    :: now >= END_TIME -> break
    :: /* Step RENEW: the send time is read before the append. */
        sentAt = now;
        atomic {
            if
#ifdef TERM_FROM_ANSWER
            /* the term is counted from the answer */
            :: !bHolds && now <= renewedAt + TERM -> renewedAt = sentAt; validUntil = now + TERM
#else
            :: !bHolds && now <= renewedAt + TERM -> renewedAt = now; validUntil = sentAt + TERM
#endif
            :: else -> skip
            fi
        }
    :: /* Step ORDER: the deadline is checked right before the send. */
        atomic {
#ifdef NO_DEADLINE_CHECK
            !orderInFlight -> orderInFlight = true; orderSentAt = now
#else
            !orderInFlight && now < validUntil -> orderInFlight = true; orderSentAt = now
#endif
        }
    od
}

/* The engine: A's order takes effect within its lifetime, or is lost. */
proctype effect()
{
    do
    :: atomic {
        orderInFlight && now <= orderSentAt + ORDER_LIFETIME ->
            orderInFlight = false;
            if
            :: engineFence > 1 -> stale = true
            :: else -> engineFence = 1
            fi
        }
    :: atomic { orderInFlight -> orderInFlight = false } /* lost */
    :: now >= END_TIME && !orderInFlight -> break
    od
}

proctype holderB()
{
    do
    :: now >= END_TIME -> break
    :: atomic {
#ifdef NO_ORDER_WAIT
        !bHolds && now > renewedAt + TERM -> bHolds = true; bSince = now
#else
        !bHolds && now > renewedAt + TERM + ORDER_LIFETIME -> bHolds = true; bSince = now
#endif
        }
    :: atomic { bHolds -> engineFence = 2 } /* B's own order takes effect */
    od
}

init
{
    atomic { run clock(); run holderA(); run effect(); run holderB() };
    (_nr_pr == 1);
    assert(!stale)
}
