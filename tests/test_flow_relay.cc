#include <gtest/gtest.h>

#include <set>

#include "relay.h"
#include "sim/flow_sim.h"

namespace {

const int64_t WALL_MS = 10000000;
const int64_t NOW_MS = 5000;

struct bd_peer
make_peer(const std::string &name, const char *zone, const char *region,
    int64_t wall_ms = WALL_MS)
{
	struct bd_peer peer = {};

	peer.id = cw_id_from_name(name.c_str());
	peer.incarnation = peer.id ^ 7;
	peer.wall_ms = wall_ms;
	snprintf(peer.name, sizeof(peer.name), "%s", name.c_str());
	snprintf(peer.address, sizeof(peer.address), "10.0.0.%u:7015",
	    (unsigned)(name[0] % 200));
	snprintf(peer.zone, sizeof(peer.zone), "%s", zone);
	snprintf(peer.region, sizeof(peer.region), "%s", region);
	return peer;
}

std::string
encoded(const struct bd_peer &peer)
{
	size_t bytes;
	void *value;

	EXPECT_EQ(CW_OK, fw_peer_encode(&peer, &value, &bytes));
	std::string text((const char *)value, bytes);
	free(value);
	return text;
}

std::string
key_of(const struct bd_peer &peer)
{
	char key[24];

	snprintf(key, sizeof(key), "v/%016llx", (unsigned long long)peer.id);
	return key;
}

/* A board that holds announcements, applied as records of the jobs topic. */
struct Peers {
	struct bd_board *board = nullptr;
	struct fw_relay relay = {};
	struct fw_relay_origin origin = {cw_id_from_name("self"), "z1", "r1"};

	Peers()
	{
		bd_board_create(&board);
	}

	~Peers()
	{
		bd_board_destroy(board);
	}

	int
	apply(const std::string &key, const std::string &value)
	{
		struct fw_record record = {};

		snprintf(record.key, sizeof(record.key), "%s", key.c_str());
		record.value = value.empty() ? nullptr : value.data();
		record.value_bytes = value.size();
		return fw_record_apply(board, &record);
	}

	void
	add(const struct bd_peer &peer)
	{
		ASSERT_EQ(CW_OK, apply(key_of(peer), encoded(peer)));
	}

	std::string
	choose(uint64_t call = 1, int64_t now_ms = NOW_MS,
	    int64_t wall_ms = WALL_MS)
	{
		struct bd_peer peer;

		return fw_relay_choose(
			   &relay, board, &origin, call, now_ms, wall_ms, &peer)
		    ? peer.name
		    : "";
	}

	void
	note(const char *name, enum fw_relay_outcome outcome)
	{
		fw_relay_note(&relay, cw_id_from_name(name), outcome, NOW_MS);
	}
};

struct Served {
	struct fw_relay_calls calls = {};
	struct fw_relay_offer offer = {};
	uint32_t index = 0;

	Served()
	{
		offer.left_ms = 1000;
		offer.accepts = offer.has_store = true;
		offer.own_calls_max = 12;
	}

	enum fw_relay_verdict
	receive(uint64_t call, int64_t now_ms = NOW_MS)
	{
		offer.call = call;
		return fw_relay_receive(&calls, &offer, now_ms, &index);
	}
};

} // namespace

/* Guards against an announcement that reads differently after it was stored,
 * and against one that is applied under the key of another VM. */
TEST(FlowRelay, AnnouncementsAreReadAsWritten)
{
	Peers peers;
	struct bd_peer peer = make_peer("a", "z1", "r1");
	const struct bd_peer *row;

	peers.add(peer);
	bd_read_begin();
	row = bd_peer_lookup(peers.board, peer.id);
	ASSERT_NE(nullptr, row);
	EXPECT_EQ(0, memcmp(row, &peer, sizeof(peer)));
	bd_read_end();
	EXPECT_EQ(
	    FW_EBADRECORD, peers.apply("v/00000000000000a1", encoded(peer)));
	EXPECT_EQ(CW_OK, peers.apply(key_of(peer), ""));
	EXPECT_EQ("", peers.choose());
}

/* Guards against a crash on, or the use of, a record that is cut, longer than
 * the table's fields or has no address to connect to. */
TEST(FlowRelay, MalformedAnnouncementsAreRefused)
{
	Peers peers;
	struct bd_peer peer = make_peer("a", "z1", "r1");
	std::string good = encoded(peer);

	for (size_t bytes = 1; bytes < good.size(); bytes++)
		EXPECT_EQ(FW_EBADRECORD,
		    peers.apply(key_of(peer), good.substr(0, bytes)));
	for (const char *address :
	    {"", "10.0.0.1", ":1", "10.0.0.1:", "10.0.0.1:x", "ho st:1"}) {
		snprintf(peer.address, sizeof(peer.address), "%s", address);
		EXPECT_EQ(
		    FW_EBADRECORD, peers.apply(key_of(peer), encoded(peer)))
		    << address;
	}
	EXPECT_EQ(0U, bd_row_count(peers.board, BD_TABLE_peer));
}

/* Guards against a follower of the jobs that stops because the table of VMs is
 * full: accepted jobs would not be read any more. */
TEST(FlowRelay, AFullTableDoesNotStopTheFollower)
{
	Peers peers;

	for (int i = 0; i < 1100; i++)
		peers.add(make_peer("vm" + std::to_string(i), "z1", "r1"));
	EXPECT_EQ(1024U, bd_row_count(peers.board, BD_TABLE_peer));
}

/* Guards against calls that are sent to a VM that is gone, and against
 * announcements that stay in the store forever: also those of a wall clock that
 * is ahead. */
TEST(FlowRelay, OldAnnouncementsAreNotUsedAndDeleted)
{
	FlowSim sim;
	struct bd_peer recent = make_peer("a", "z1", "r1");
	struct bd_peer old = make_peer("b", "z1", "r1");
	struct bd_peer ahead = make_peer("c", "z1", "r1");
	Peers peers;
	uint64_t end;

	sim.wall_ahead_ms = WALL_MS;
	old.wall_ms -= FW_PEER_AGE_MAX_MS + 1;
	ahead.wall_ms += FW_PEER_AGE_MAX_MS + 60000;
	peers.add(old);
	peers.add(ahead);
	EXPECT_EQ("", peers.choose());
	EXPECT_FALSE(fw_peer_known(peers.board, old.address, WALL_MS));
	peers.add(recent);
	EXPECT_EQ("a", peers.choose());
	EXPECT_TRUE(fw_peer_known(peers.board, recent.address, WALL_MS));
	EXPECT_FALSE(fw_peer_known(peers.board, "10.0.0.9:1", WALL_MS));
	for (const struct bd_peer &peer : {recent, old, ahead})
		sim.job_log.append({{key_of(peer), encoded(peer)}}, 0, 0, &end);
	sim.add_worker("w1");
	SimVm *vm = sim.add_vm("a");
	sim.run_for(3000);
	EXPECT_EQ(1U, sim.job_log.newest().count(key_of(recent)));
	EXPECT_EQ(0U, sim.job_log.newest().count(key_of(old)));
	EXPECT_EQ(0U, sim.job_log.newest().count(key_of(ahead)));
	EXPECT_EQ(1U, bd_row_count(vm->fixture.board, BD_TABLE_peer));
}

/* Guards against calls that cross zones or regions while a nearer VM could
 * serve them, and against one VM that gets the calls of a whole zone. */
TEST(FlowRelay, NearPeersAreChosenAndSpreadOver)
{
	Peers peers;
	std::set<std::string> chosen;

	EXPECT_EQ("", peers.choose());
	peers.add(make_peer("self", "z1", "r1"));
	EXPECT_EQ("", peers.choose());
	peers.add(make_peer("far", "z1", "r2"));
	EXPECT_EQ("far", peers.choose());
	peers.add(make_peer("region", "z2", "r1"));
	EXPECT_EQ("region", peers.choose());
	for (int i = 0; i < 4; i++)
		peers.add(make_peer("zone" + std::to_string(i), "z1", "r1"));
	for (uint64_t call = 1; call <= 200; call++)
		chosen.insert(peers.choose(call));
	EXPECT_EQ((std::set<std::string>{"zone0", "zone1", "zone2", "zone3"}),
	    chosen);
}

/* Guards against callers that wait again and again for a VM that has failed or
 * has no store, and against one that is never used again. */
TEST(FlowRelay, PeersThatWereOfNoUseAreAvoidedForSomeTime)
{
	for (enum fw_relay_outcome outcome : {FW_RELAY_NO_ANSWER,
		 FW_RELAY_NOT_SENT, FW_RELAY_NO_STORE, FW_RELAY_BUSY}) {
		Peers peers;
		int64_t avoided_ms = outcome == FW_RELAY_BUSY ? 500 : 3000;

		peers.add(make_peer("a", "z1", "r1"));
		peers.add(make_peer("b", "z2", "r2"));
		peers.note("a", FW_RELAY_ANSWERED);
		EXPECT_EQ("a", peers.choose());
		peers.note("a", outcome);
		EXPECT_EQ("b", peers.choose());
		EXPECT_EQ("b", peers.choose(1, NOW_MS + avoided_ms - 1));
		EXPECT_EQ("a", peers.choose(1, NOW_MS + avoided_ms));
		peers.note("b", outcome);
		EXPECT_EQ("", peers.choose());
	}
}

/* More VMs than are remembered: the ones that are avoided longest are kept. */
TEST(FlowRelay, TheListOfAvoidedPeersIsBounded)
{
	Peers peers;

	for (int i = 0; i < 200; i++)
		peers.note(("x" + std::to_string(i)).c_str(), FW_RELAY_BUSY);
	peers.add(make_peer("a", "z1", "r1"));
	peers.note("a", FW_RELAY_NO_STORE);
	for (int i = 0; i < FW_RELAY_AVOIDED_MAX - 1; i++)
		peers.note(("y" + std::to_string(i)).c_str(), FW_RELAY_BUSY);
	EXPECT_EQ("", peers.choose());
}

/* Guards against an outage that fills the memory of a VM or its links with
 * calls, and against calls that are delayed by peers while no VM has the
 * store. */
TEST(FlowRelay, ForwardedCallsAreBounded)
{
	struct fw_relay relay = {};

	EXPECT_FALSE(fw_relay_begin(&relay, 96 * 1024 + 1, 2000, NOW_MS));
	EXPECT_FALSE(fw_relay_begin(&relay, 0, 200, NOW_MS));
	for (int i = 0; i < 16; i++)
		EXPECT_TRUE(fw_relay_begin(&relay, 96 * 1024, 2000, NOW_MS));
	EXPECT_FALSE(fw_relay_begin(&relay, 0, 2000, NOW_MS));
	fw_relay_end(&relay);
	fw_relay_note_no_store(&relay, NOW_MS);
	EXPECT_FALSE(fw_relay_begin(&relay, 0, 2000, NOW_MS + 999));
	EXPECT_TRUE(fw_relay_begin(&relay, 0, 2000, NOW_MS + 1000));
	/* The caller can still try another VM. */
	EXPECT_EQ(900, fw_relay_share_ms(2000));
}

/* Guards against a call that is served by two VMs at a time, and against a
 * caller that waits while peer after peer is tried. */
TEST(FlowRelay, AnotherPeerIsTriedOnlyIfTheFirstDidNothing)
{
	EXPECT_FALSE(fw_relay_tries_another(FW_RELAY_ANSWERED, 1));
	EXPECT_FALSE(fw_relay_tries_another(FW_RELAY_NO_ANSWER, 1));
	for (enum fw_relay_outcome outcome :
	    {FW_RELAY_NOT_SENT, FW_RELAY_BUSY, FW_RELAY_NO_STORE}) {
		EXPECT_TRUE(fw_relay_tries_another(outcome, 2));
		EXPECT_FALSE(fw_relay_tries_another(outcome, 3));
	}
}

/* Guards against untrue answers: 503 for a job that may be stored, and 504 for
 * one that certainly is not. */
TEST(FlowRelay, AnswersAreTruthful)
{
	for (int status : {200, 400, 401, 404, 410, 503, 504})
		EXPECT_EQ(status,
		    fw_relay_status(FW_RELAY_ANSWERED, status, false, false));
	EXPECT_EQ(504, fw_relay_status(FW_RELAY_NO_ANSWER, 0, false, false));
	EXPECT_EQ(503, fw_relay_status(FW_RELAY_NO_ANSWER, 0, true, false));
	for (enum fw_relay_outcome outcome :
	    {FW_RELAY_NOT_SENT, FW_RELAY_BUSY, FW_RELAY_NO_STORE}) {
		EXPECT_EQ(503, fw_relay_status(outcome, 0, false, false));
		EXPECT_EQ(504, fw_relay_status(outcome, 0, false, true));
	}
	/* This VM's own append may have stored the job. */
	EXPECT_EQ(200, fw_relay_status(FW_RELAY_ANSWERED, 200, false, true));
	for (int status : {401, 404, 429, 503, 504})
		EXPECT_EQ(504,
		    fw_relay_status(FW_RELAY_ANSWERED, status, false, true));
}

/* A peer restarts after it has served the first copy of a request, and its
 * successor has not served the second one: the job may be stored. Guards
 * against 503 for it, and against 504 where nothing can have been done. */
TEST(FlowRelay, ARestartedPeerTellsAboutItsOwnCopyOnly)
{
	struct fw_relay_message answer = {};

	EXPECT_EQ(FW_RELAY_NOT_SENT, fw_relay_outcome_of(nullptr, 7, 0));
	EXPECT_EQ(FW_RELAY_NO_ANSWER, fw_relay_outcome_of(nullptr, 7, 1));
	for (uint64_t incarnation : {7, 8})
		for (uint32_t sent : {1, 2}) {
			bool sure = incarnation == 7 || sent == 1;

			answer.incarnation = incarnation;
			answer.kind = FW_RELAY_ANSWER;
			EXPECT_EQ(FW_RELAY_ANSWERED,
			    fw_relay_outcome_of(&answer, 7, sent));
			answer.kind = FW_RELAY_ANSWER_BUSY;
			EXPECT_EQ(sure ? FW_RELAY_BUSY : FW_RELAY_NO_ANSWER,
			    fw_relay_outcome_of(&answer, 7, sent));
			answer.kind = FW_RELAY_ANSWER_NO_STORE;
			EXPECT_EQ(sure ? FW_RELAY_NO_STORE : FW_RELAY_NO_ANSWER,
			    fw_relay_outcome_of(&answer, 7, sent));
		}
}

/* Guards against a call that a peer serves twice because the origin repeats its
 * request. */
TEST(FlowRelay, RepeatedRequestsAreServedOnce)
{
	Served served;
	uint32_t index;

	EXPECT_EQ(FW_RELAY_SERVE, served.receive(1));
	EXPECT_EQ(FW_RELAY_IN_PROGRESS, served.receive(1));
	EXPECT_EQ(FW_RELAY_IN_PROGRESS, served.receive(1, NOW_MS + 600000));
	EXPECT_TRUE(fw_relay_find(&served.calls, 1, &index));
	EXPECT_FALSE(fw_relay_find(&served.calls, 2, &index));
	EXPECT_FALSE(fw_relay_find(&served.calls, 0, &index));
	fw_relay_served(&served.calls, index);
	EXPECT_EQ(0U, served.calls.serving);
	EXPECT_EQ(FW_RELAY_REPEAT, served.receive(1));
	EXPECT_EQ(1U, served.calls.seen[0].call);
}

/* A peer has answered that it did not serve a call, and a repeat of the request
 * arrives once it could: the job must not run, as its caller was told. */
TEST(FlowRelay, RepeatsOfRefusedCallsAreRefused)
{
	Served served;

	served.offer.own_calls = 8;
	EXPECT_EQ(FW_RELAY_SAY_BUSY, served.receive(1));
	served.offer.own_calls = 7;
	EXPECT_EQ(FW_RELAY_SAY_BUSY, served.receive(1));
	EXPECT_EQ(FW_RELAY_SERVE, served.receive(2));
	served.offer.has_store = false;
	EXPECT_EQ(FW_RELAY_SAY_NO_STORE, served.receive(3));
	served.offer.has_store = true;
	EXPECT_EQ(FW_RELAY_SAY_NO_STORE, served.receive(3));
	served.offer.accepts = false;
	EXPECT_EQ(FW_RELAY_SAY_BUSY, served.receive(4));
}

/* Guards against calls of other VMs that take a VM's threads from its own
 * callers, and against the loss of a call's entry while it can be repeated. */
TEST(FlowRelay, ServedCallsAreBounded)
{
	Served served;

	for (uint64_t call = 1; call <= 8; call++)
		EXPECT_EQ(FW_RELAY_SERVE, served.receive(call));
	for (uint64_t call = 9; call <= FW_RELAY_SEEN_MAX; call++)
		EXPECT_EQ(FW_RELAY_SAY_BUSY, served.receive(call));
	EXPECT_EQ(FW_RELAY_IGNORE, served.receive(1000));
	EXPECT_EQ(FW_RELAY_IGNORE, served.receive(1000, NOW_MS + 1000));
	EXPECT_EQ(FW_RELAY_SAY_BUSY, served.receive(1000, NOW_MS + 4001));
	EXPECT_EQ(8U, served.index);
	EXPECT_EQ(FW_RELAY_IN_PROGRESS, served.receive(1, NOW_MS + 4001));
	EXPECT_EQ(FW_RELAY_IGNORE, Served().receive(0));
}

/* Guards against a message that reads differently at the other end, and against
 * a crash on one that is cut. */
TEST(FlowRelay, MessagesAreReadAsWritten)
{
	std::string body(FW_RELAY_BODY_BYTES_MAX, '\0');
	struct fw_relay_message message = {};
	struct fw_relay_message *read;
	size_t bytes;
	void *data;

	message.kind = FW_RELAY_REQUEST;
	message.call = UINT64_MAX;
	message.from = "10.0.0.1:7015";
	message.incarnation = 7;
	message.version = 8;
	message.left_ms = 900;
	message.method = "POST";
	message.host = "h.example";
	message.path = "/jobs/1";
	message.authorization = "Bearer key";
	message.body = body.data();
	message.body_bytes = body.size();
	ASSERT_EQ(CW_OK, fw_relay_encode(&message, &data, &bytes));
	EXPECT_LT(bytes, 128U * 1024);
	ASSERT_EQ(CW_OK, fw_relay_decode(data, bytes, &read));
	EXPECT_EQ(FW_RELAY_REQUEST, read->kind);
	EXPECT_EQ(UINT64_MAX, read->call);
	EXPECT_STREQ(message.from, read->from);
	EXPECT_EQ(7U, read->incarnation);
	EXPECT_EQ(8U, read->version);
	EXPECT_EQ(900U, read->left_ms);
	EXPECT_STREQ(message.method, read->method);
	EXPECT_STREQ(message.host, read->host);
	EXPECT_STREQ(message.path, read->path);
	EXPECT_STREQ(message.authorization, read->authorization);
	ASSERT_EQ(body.size(), read->body_bytes);
	EXPECT_EQ(0, memcmp(body.data(), read->body, body.size()));
	free(read);
	free(data);
	message = {};
	message.kind = FW_RELAY_ANSWER;
	message.call = 1;
	message.status = 503;
	message.retry_after_s = 4;
	message.body = "{}";
	message.body_bytes = 2;
	ASSERT_EQ(CW_OK, fw_relay_encode(&message, &data, &bytes));
	for (size_t cut = 0; cut < bytes; cut++)
		EXPECT_EQ(FW_EBADRECORD, fw_relay_decode(data, cut, &read));
	ASSERT_EQ(CW_OK, fw_relay_decode(data, bytes, &read));
	EXPECT_EQ(503U, read->status);
	EXPECT_EQ(4U, read->retry_after_s);
	EXPECT_STREQ("", read->path);
	free(read);
	free(data);
}

/* Guards against messages whose fields no VM writes: they come from a fault or
 * from elsewhere. */
TEST(FlowRelay, MessagesOutOfRangeAreRefused)
{
	struct fw_relay_message good = {};
	struct fw_relay_message *read;

	good.kind = FW_RELAY_ANSWER;
	good.call = 1;
	good.status = 200;
	auto code = [&](struct fw_relay_message message) {
		size_t bytes;
		void *data;
		int result;

		fw_relay_encode(&message, &data, &bytes);
		result = fw_relay_decode(data, bytes, &read);
		if (result == CW_OK)
			free(read);
		free(data);
		return result;
	};
	auto changed = [&](auto change) {
		struct fw_relay_message message = good;

		change(message);
		return code(message);
	};

	EXPECT_EQ(CW_OK, code(good));
	EXPECT_EQ(FW_EBADRECORD, changed([](auto &m) {
		m.call = 0;
	}));
	EXPECT_EQ(FW_EBADRECORD, changed([](auto &m) {
		m.status = 0;
	}));
	EXPECT_EQ(FW_EBADRECORD, changed([](auto &m) {
		m.status = 600;
	}));
	EXPECT_EQ(FW_EBADRECORD, changed([](auto &m) {
		m.left_ms = 60001;
	}));
	EXPECT_EQ(FW_EBADRECORD, changed([](auto &m) {
		m.kind = (enum fw_relay_kind)0;
	}));
	EXPECT_EQ(FW_EBADRECORD, changed([](auto &m) {
		m.kind = (enum fw_relay_kind)7;
	}));
}
