/*
 * The leases of one worker across changes of the placer (docs/design.md, 18.4.1).
 *
 * Time is counted in ticks. A placer renews the lease of a worker that it can
 * reach. When it cannot, it stores when the last lease ends, and it deletes that
 * before it renews again. At any time a successor takes over; the placer before
 * it may be cut off from the store and renew for a bounded time more. The task
 * of the worker is placed again once the placer takes its leases for over.
 *
 * Properties: no lease is valid when the task is placed again; the task of a
 * worker that is lost is placed again within a bounded time, however often the
 * placer changes. A placer lives for two ticks at least.
 * Mutations: ANEW does not use the stored end, EARLY renews before it is
 * deleted, SHORT does not wait for the leases of earlier placers.
 */
#define LEASE 2
#define UNCONFIRMED 4 /* leases end so long after the last confirmation */
#define BOUND 6
#define END 14
#define NEVER 255

byte now = 1;
bool alive = true;
byte lost_at = NEVER;
byte lease_end = 1 + LEASE;
byte stored = 0; /* end of the last lease in the store, 0: none */
bool placed_again = false;

/* The present placer. */
byte since = 1;
bool reaches = true;
byte known_end = 1 + LEASE; /* leases may last until then */

/* The one before, as it was when it was replaced. */
bool old_renews = false;
byte old_limit = 0;

#ifdef EARLY
#define MAY_RENEW true
#else
#define MAY_RENEW (stored == 0)
#endif
#ifdef SHORT
#define EARLIER_END (now + LEASE)
#else
#define EARLIER_END (now + UNCONFIRMED)
#endif

inline renew(limit)
{
	if
	:: now + LEASE < limit -> renewed = now + LEASE
	:: else -> renewed = limit
	fi;
	if
	:: alive && lease_end > now && renewed > lease_end ->
		lease_end = renewed
	:: else -> skip
	fi
}

inline take_over()
{
	old_renews = MAY_RENEW;
	old_limit = now + UNCONFIRMED;
	since = now;
	known_end = EARLIER_END;
#ifndef ANEW
	if
	:: stored != 0 && stored < known_end -> known_end = stored
	:: else -> skip
	fi;
#endif
	if
	:: alive -> reaches = true
	:: reaches = false
	fi
}

/* What a placer does without delay. */
#define MUST_PLACE (!reaches && now >= known_end && !placed_again)
#define MUST_STORE (!reaches && stored == 0 && known_end > now && now > since)

init {
	byte renewed;

	do
	:: placed_again || now == END -> break
	:: else ->
		atomic {
			if
			/* The placer. */
			:: reaches && alive && MAY_RENEW ->
				renew(now + LEASE);
				if
				:: known_end < now + LEASE ->
					known_end = now + LEASE
				:: else -> skip
				fi
			:: reaches && alive && stored != 0 -> stored = 0
			:: MUST_STORE -> stored = known_end
			:: MUST_PLACE ->
				assert(!(alive && lease_end > now));
				placed_again = true
			/* The one before it. */
			:: old_renews && now < old_limit -> renew(old_limit)
			/* Faults. */
			:: alive -> alive = false; reaches = false; lost_at = now
			:: reaches -> reaches = false
			:: !reaches && alive -> reaches = true
			:: now >= since + 2 -> take_over()
			/* Time passes. */
			:: !MUST_PLACE && !MUST_STORE ->
				now++;
				assert(lost_at == NEVER ||
				    now - lost_at <= BOUND)
			fi
		}
	od
}
