/*
 * Ownership and fenced proposals over the log (docs/design.md, 4 and 8.4).
 *
 * Each of two VMs appends claims of the same duty and one submission. A VM may
 * be paused between its decision and its append. The answer to an append may be
 * lost; the append is then repeated. All VMs apply the log by the same rules.
 *
 * Properties: a claim takes the duty only from the owner that its writer had
 * read; a submission takes effect only once; VMs at the same position of the
 * log have the same owner and epoch.
 * Mutations: NO_FENCE omits the epoch check, NO_SEQUENCE the check for repeated
 * records.
 */
#define VMS 2
#define LOG_MAX 7
#define CLAIM 1
#define SUBMIT 2

typedef entry {
	byte kind;
	byte writer;
	byte sequence;
	byte epoch;
	byte seen_owner; /* ghost: the owner when the claim was decided */
};

typedef table {
	byte position;
	byte epoch;
	byte owner;
	byte jobs[VMS];
	byte last[VMS];
};

entry log_entry[LOG_MAX];
byte log_next = 0;
table vm[VMS];

#ifdef NO_FENCE
#define FENCE_HOLDS(v) true
#else
#define FENCE_HOLDS(v) (log_entry[vm[v].position].epoch == vm[v].epoch)
#endif
#ifdef NO_SEQUENCE
#define IS_REPEATED(v, w) false
#else
#define IS_REPEATED(v, w) \
	(log_entry[vm[v].position].sequence <= vm[v].last[w])
#endif

inline append(k, w, s, e, o)
{
	atomic {
		if
		:: log_next < LOG_MAX ->
			log_entry[log_next].kind = k;
			log_entry[log_next].writer = w;
			log_entry[log_next].sequence = s;
			log_entry[log_next].epoch = e;
			log_entry[log_next].seen_owner = o;
			log_next++
		:: else -> skip
		fi
	}
}

inline apply_next(v)
{
	d_step {
		w = log_entry[vm[v].position].writer;
		if
		:: IS_REPEATED(v, w) -> skip
		:: else ->
			vm[v].last[w] = log_entry[vm[v].position].sequence;
			if
			:: log_entry[vm[v].position].kind == SUBMIT ->
				vm[v].jobs[w]++;
				assert(vm[v].jobs[w] == 1)
			:: log_entry[vm[v].position].kind == CLAIM &&
			    FENCE_HOLDS(v) ->
				assert(log_entry[vm[v].position].seen_owner ==
				    vm[v].owner);
				vm[v].owner = w + 1;
				vm[v].epoch = vm[v].position + 1
			:: else -> skip
			fi
		fi;
		w = 0;
		vm[v].position++;
		assert(vm[0].position != vm[1].position ||
		    (vm[0].owner == vm[1].owner &&
		    vm[0].epoch == vm[1].epoch))
	}
}

proctype follower(byte self)
{
	byte w = 0;

	do
	:: vm[self].position < log_next -> apply_next(self)
	:: vm[self].position == LOG_MAX -> break
	:: timeout -> break
	od
}

proctype proposer(byte self)
{
	byte sequence = 0;
	byte epoch;
	byte owner;
	byte round = 0;

	do
	:: round < 2 ->
		/* The decision; the VM may be paused before the append. */
		d_step {
			epoch = vm[self].epoch;
			owner = vm[self].owner;
			sequence++;
			round++
		}
		if
		:: append(CLAIM, self, sequence, epoch, owner)
		:: round == 1 -> append(SUBMIT, self, sequence, 0, 0)
		fi;
		if
		:: skip
		:: /* The answer is lost: the same record is appended again. */
			if
			:: log_next > 0 &&
			    log_entry[log_next - 1].kind == SUBMIT &&
			    log_entry[log_next - 1].writer == self ->
				append(SUBMIT, self, sequence, 0, 0)
			:: else -> append(CLAIM, self, sequence, epoch, owner)
			fi
		fi
	:: break
	od
}

init {
	atomic {
		run follower(0);
		run follower(1);
		run proposer(0);
		run proposer(1)
	}
}
