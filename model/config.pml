/*
 * Configuration changes by concurrent operators, with snapshots and records
 * relayed by peers (docs/design.md, 8.1, 8.5 and 8.6).
 *
 * Two operators edit the version that they have read on one of the VMs. Two
 * VMs read records from the log or from each other, or load a snapshot, which
 * may be older than their state.
 *
 * Properties: the version in force on a VM never decreases; a text replaces
 * only the text that its operator had read; VMs at the same position of the
 * log have the same version and text.
 * Mutations: OLD_SNAPSHOT loads snapshots of any age, NO_BASE applies a record
 * whatever version it is based on.
 */
#define VMS 2
#define LOG_MAX 4

typedef entry {
	byte base;
	byte text;
	byte seen_text; /* ghost: the text that the operator edited */
};

typedef table {
	byte position;
	byte version;
	byte text;
};

entry log_entry[LOG_MAX];
byte log_next = 0;
table vm[VMS];
table snapshot;
bool log_reachable[VMS];

#ifdef NO_BASE
#define BASE_HOLDS(v) true
#else
#define BASE_HOLDS(v) (log_entry[vm[v].position].base == vm[v].version)
#endif
#ifdef OLD_SNAPSHOT
#define SNAPSHOT_IS_NEWER(v) true
#else
#define SNAPSHOT_IS_NEWER(v) (snapshot.position > vm[v].position)
#endif

inline apply_next(v)
{
	d_step {
		if
		:: BASE_HOLDS(v) ->
			assert(log_entry[vm[v].position].seen_text == vm[v].text);
			vm[v].version++;
			vm[v].text = log_entry[vm[v].position].text
		:: else -> skip
		fi;
		vm[v].position++;
		assert(vm[0].position != vm[1].position ||
		    (vm[0].version == vm[1].version &&
		    vm[0].text == vm[1].text))
	}
}

proctype daemon(byte self)
{
	byte version_before;
	byte steps = 0;

	do
	:: log_reachable[self] && vm[self].position < log_next ->
		apply_next(self)
	:: /* A peer relays records with their positions. */
	   vm[self].position < vm[1 - self].position ->
		apply_next(self)
	:: log_reachable[self] -> log_reachable[self] = false
	:: steps < 2 -> d_step {
		steps++;
		snapshot.position = vm[self].position;
		snapshot.version = vm[self].version;
		snapshot.text = vm[self].text
	   }
	:: d_step {
		snapshot.position > 0 && SNAPSHOT_IS_NEWER(self) ->
		version_before = vm[self].version;
		vm[self].position = snapshot.position;
		vm[self].version = snapshot.version;
		vm[self].text = snapshot.text;
		assert(vm[self].version >= version_before);
		version_before = 0
	   }
	:: timeout -> break
	od
}

proctype operator(byte text)
{
	byte base;
	byte seen;
	byte round = 0;

	do
	:: round < 2 ->
		d_step {
			base = vm[text % VMS].version;
			seen = vm[text % VMS].text;
			round++
		}
		/* The other operator may append in between. */
		d_step {
			log_entry[log_next].base = base;
			log_entry[log_next].text = text * 2 + round;
			log_entry[log_next].seen_text = seen;
			log_next++
		}
	:: break
	od
}

init {
	atomic {
		log_reachable[0] = true;
		log_reachable[1] = true;
		run daemon(0);
		run daemon(1);
		run operator(1);
		run operator(2)
	}
}
