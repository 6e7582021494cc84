/* mutants: MUTANT=1 MUTANT=2 MUTANT=3 MUTANT=4 */
/* sizes: REQUESTS=3,FAULTS=1 REQUESTS=2,FAULTS=2 */
/* liveness: REQUESTS=2,FAULTS=1,RUN_ON=1 */
/*
 * At most once (docs/design.md, 5.1): one key, two entry nodes, the store's
 * partition, and a client that retries at any node. A node may be slow at any
 * step (interleaving), crash at any step, and lose any answer of the store; a
 * write without an answer takes effect at any later time or never. Steps follow
 * src/ledger_partition.c.
 *
 * Mutants: 1 runs before the swap is confirmed; 2 runs a started record again;
 * 3 takes a write without an answer as failed once it is read back absent;
 * 4 never refuses or answers a request that waits for another's outcome.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define NODES 2
#ifndef REQUESTS
#define REQUESTS 3
#endif
#ifndef FAULTS
#define FAULTS 2 /* lost answers, failed and stale reads */
#endif
#define POLLS 1

#define BIT(r) (1 << (r))

mtype = { IDLE, START, SENT, FINISH, WITHDRAW, WAIT };
mtype = { NONE, ANSWERED, NOT_RUN, UNKNOWN, CLOSED };

/* A value of the partition: the record's nonce (0: no record) and outcome. */
typedef value_t { byte revision; byte nonce; bool done };
/* A write that has lost its answer and not taken effect. */
typedef late_t { bool out; byte expected; byte nonce; bool done };

value_t store, old;
late_t late[NODES];
byte faults = FAULTS;
bool crashed;
byte nonces;
byte runs;

mtype reply[REQUESTS] = NONE;
byte inbox[NODES]; /* requests sent to a node and not taken, as bits */
bool only_not_run = true;
bool client_done;
byte idle; /* nodes that are idle, as bits */

inline write(put_n, put_d) {
	old.revision = store.revision;
	old.nonce = store.nonce;
	old.done = store.done;
	store.revision++;
	store.nonce = put_n;
	store.done = put_d
}

/* Late writes take effect or are dropped. */
active proctype network() {
	byte i;
end:	do
	:: atomic { late[0].out -> i = 0; goto arrive }
	:: atomic { late[1].out -> i = 1; goto arrive }
	od;
arrive:	atomic {
		if
		:: late[i].expected == store.revision ->
			write(late[i].nonce, late[i].done)
		:: true
		fi;
		late[i].out = false;
		late[i].expected = 0;
		late[i].nonce = 0;
		late[i].done = false;
		goto end
	}
}

/* Answers every waiter of the node. */
inline answer(verdict) {
	r = 0;
	do
	:: r < REQUESTS ->
		if
		:: waiters & BIT(r) -> reply[r] = verdict
		:: else
		fi;
		r++
	:: else -> break
	od;
	waiters = 0;
	r = 0
}

inline become_idle() {
	state = IDLE;
	exposed = false;
	own = 0;
	polls = 0;
	idle = idle | BIT(me)
}

/* The store's read; an older value than the needed one is ignored. */
inline read_store() {
	if
	:: store.revision >= need ->
		snap.revision = store.revision;
		snap.nonce = store.nonce;
		snap.done = store.done;
		need = snap.revision;
		want_read = false
	:: faults > 0 -> faults-- /* no answer */
	:: faults > 0 && old.revision >= need -> /* stale */
		faults--;
		snap.revision = old.revision;
		snap.nonce = old.nonce;
		snap.done = old.done;
		need = snap.revision;
		want_read = false
	fi
}

/* The store's swap, with the value that the node wants. */
inline swap(want_n, want_d) {
	if
	:: store.revision == snap.revision ->
		write(want_n, want_d);
		snap.revision = store.revision;
		snap.nonce = want_n;
		snap.done = want_d;
		need = snap.revision
	:: store.revision != snap.revision -> /* conflict */
		need = snap.revision + 1;
		want_read = true
	:: faults > 0 && store.revision == snap.revision -> /* answer lost */
		faults--;
		write(want_n, want_d);
		unsure = snap.revision + 1;
		want_read = true
	:: faults > 0 && !late[me].out -> /* takes effect late or never */
		faults--;
		late[me].out = true;
		late[me].expected = snap.revision;
		late[me].nonce = want_n;
		late[me].done = want_d;
		unsure = snap.revision + 1;
		want_read = true
	fi
}

/* unsure: 1 + the expected revision of a swap without an answer. */
#define SETTLED (MUTANT == 3 || snap.revision >= unsure)

inline run_it() {
	assert(waiters != 0);	/* a request that nobody refused */
	assert(runs == 0);	/* at most once */
	assert(!(client_done && only_not_run));
	runs++;
	state = SENT
}

proctype node(byte me) {
	mtype state = IDLE;
	byte waiters, own, unsure, need, polls, r;
	bool exposed, want_read = true;
	value_t snap;

end:	do
	/* A request: the first one of a key, or a duplicate. */
	:: atomic { inbox[me] != 0 ->
		waiters = waiters | inbox[me];
		inbox[me] = 0;
		if
		:: state == IDLE ->
			idle = idle & ~BIT(me);
			nonces++;
			own = nonces;
			state = START
		:: else
		fi }
	:: atomic { state != IDLE && want_read && state != SENT ->
		read_store() }
	:: atomic { state == START && !want_read ->
		if
		:: exposed && !SETTLED -> swap(own, false)
		:: else ->
			if
			:: snap.nonce == own -> run_it()
			:: MUTANT == 2 && snap.nonce != 0 &&
			    snap.nonce != own && !snap.done -> swap(own, false)
			:: snap.nonce != 0 && snap.nonce != own && snap.done ->
				assert(runs == 1);
				answer(ANSWERED);
				become_idle()
			:: MUTANT != 2 && snap.nonce != 0 &&
			    snap.nonce != own && !snap.done ->
				exposed = false;
				polls = 0;
				state = WAIT
			:: snap.nonce == 0 ->
				exposed = true;
				swap(own, false);
				if
				:: MUTANT == 1 && want_read -> run_it()
				:: else
				fi
			fi
		fi }
	/* The store does not answer in time. */
	:: atomic { state == START && faults < FAULTS ->
		answer(NOT_RUN);
		if
		:: exposed && !(MUTANT == 3 && !want_read && snap.nonce != own)
			-> state = WITHDRAW
		:: else -> become_idle()
		fi }
	/* The service answers, or cannot be reached. */
	:: atomic { state == SENT -> state = FINISH }
	:: atomic { state == SENT && faults > 0 ->
		faults--;
		runs--;
		answer(NOT_RUN);
		exposed = true;
		state = WITHDRAW }
	:: atomic { state == FINISH && !want_read ->
		if
		:: snap.nonce == own && !snap.done -> swap(own, true)
		:: else ->
			answer(ANSWERED);
			become_idle()
		fi }
	:: atomic { state == WITHDRAW && !want_read ->
		if
		:: SETTLED && snap.nonce != own ->
			if
			:: waiters != 0 ->
				nonces++;
				own = nonces;
				exposed = false;
				state = START
			:: else -> become_idle()
			fi
		:: snap.nonce == own -> swap(0, false)
		:: !SETTLED && snap.nonce != own ->
			swap(snap.nonce, snap.done)
		fi }
	:: atomic { state == WITHDRAW && waiters != 0 && faults < FAULTS ->
		answer(NOT_RUN) }
	:: atomic { state == WAIT && !want_read ->
		if
		:: snap.nonce == 0 -> state = START
		:: snap.nonce != 0 && snap.done ->
			assert(runs == 1);
			answer(ANSWERED);
			become_idle()
		:: snap.nonce != 0 && !snap.done && polls < POLLS ->
			polls++;
			want_read = true
		:: MUTANT != 4 && snap.nonce != 0 && !snap.done &&
		    polls == POLLS ->
			answer(UNKNOWN);
			become_idle()
		fi }
	/* A crash: the process starts again without any memory. */
	:: atomic { !crashed && state != IDLE ->
		crashed = true;
		waiters = waiters | inbox[me];
		inbox[me] = 0;
		answer(CLOSED);
		become_idle();
		snap.revision = 0;
		snap.nonce = 0;
		snap.done = false;
		unsure = 0;
		need = 0;
		want_read = true }
	od
}

proctype client() {
	byte q;
	do
	:: q < REQUESTS ->
		atomic {
			if
			:: inbox[0] = inbox[0] | BIT(q)
			:: inbox[1] = inbox[1] | BIT(q)
			fi
		}
		if
		:: reply[q] != NONE
		:: q + 1 < REQUESTS /* gives up and retries at once */
		fi;
		atomic {
			if
			:: reply[q] != NOT_RUN -> only_not_run = false
			:: else
			fi;
			if
			:: reply[q] == ANSWERED -> assert(runs == 1); break
			:: else -> q++
			fi
		}
	:: else -> break
	od;
	atomic {
		assert(!only_not_run || runs == 0);
		client_done = true
	}
}

/* Once all is quiet, no start is left that never ran. */
proctype monitor() {
	atomic {
		client_done && idle == 3 && inbox[0] == 0 && inbox[1] == 0 &&
		    !late[0].out && !late[1].out ->
		assert(crashed || store.nonce == 0 || store.done)
	}
}

#ifdef RUN_ON
/*
 * Keeps the run going where nothing else can: spin does not extend a blocked
 * run under weak fairness, and the property would hold of it unseen.
 */
active proctype idle_process() {
	do
	:: true -> skip
	od
}
#endif

init {
	atomic {
		idle = 3;
		run node(0);
		run node(1);
		run client();
		run monitor()
	}
}

ltl request_ends { <> client_done }
