#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fleet.h"

namespace {

const char text[] = "entry bytes";

// Returns a message of a kind with every field set.
struct fl_msg
make_message(uint32_t kind)
{
	struct fl_msg msg;

	memset(&msg, 0, sizeof(msg));
	msg.kind = kind;
	msg.sender = 0xfedcba9876543210u;
	switch (kind) {
	case FL_MSG_HEARTBEAT: {
		struct fl_heartbeat &b = msg.body.heartbeat;
		b.position = UINT64_MAX;
		b.digest = 2;
		b.config_version = 3;
		b.leaving = b.has_identity = 1;
		b.started_ms = 1700000000000;
		b.zone = 4;
		b.region = 5;
		memset(b.name, 'n', CW_NAME_BYTES - 1);
		memset(b.peer_address, 'p', CW_NAME_BYTES - 1);
		memset(b.http_address, 'h', CW_NAME_BYTES - 1);
		b.heard_count = FL_MEMBERS_MAX;
		b.load_count = FL_MSG_LOADS_MAX;
		for (uint32_t i = 0; i < FL_MEMBERS_MAX; i++)
			b.heard[i] = 0xffffff - i;
		for (uint32_t i = 0; i < FL_MSG_LOADS_MAX; i++)
			b.loads[i] = {0xffffff - i, i};
		break;
	}
	case FL_MSG_LEAVE:
		msg.body.leave.gone = 1;
		break;
	case FL_MSG_TAIL_GET:
		msg.body.tail_get = {UINT64_MAX, PF_LOG_ENTRY_BYTES_MAX};
		break;
	case FL_MSG_TAIL:
		msg.body.tail.count = FL_MSG_ENTRIES_MAX;
		for (uint32_t i = 0; i < FL_MSG_ENTRIES_MAX; i++)
			msg.body.tail.entries[i] = {
			    i, PF_LOG_ENTRY_BYTES_MAX, i, sizeof(text), text};
		break;
	case FL_MSG_SNAP_GET:
		msg.body.snap_get = {UINT64_MAX, FL_SNAP_BYTES_MAX};
		break;
	case FL_MSG_SNAP:
		msg.body.snap = {9, FL_SNAP_BYTES_MAX, 7, sizeof(text), text};
		break;
	case FL_MSG_SHARE_ASK:
	case FL_MSG_SHARE:
		msg.body.share.sequence = UINT64_MAX;
		msg.body.share.base = 1;
		msg.body.share.count = FL_ACCOUNTS_MAX;
		for (uint32_t i = 0; i < FL_ACCOUNTS_MAX; i++)
			msg.body.share.entries[i] = {
			    UINT32_MAX - i, UINT32_MAX, i};
		break;
	case FL_MSG_RESULT_GET:
		msg.body.result_get = {UINT64_MAX, 8};
		break;
	default:
		msg.body.result = {1, FL_ENOTFOUND, 999, sizeof(text), text};
		break;
	}
	return msg;
}

std::string
encode(const struct fl_msg &msg)
{
	std::string out(FL_MSG_BYTES_MAX, '\0');
	size_t bytes = 0;

	EXPECT_EQ(fl_msg_encode(&msg, &out[0], out.size(), &bytes), CW_OK);
	out.resize(bytes);
	return out;
}

// Guards against a field that is lost or misplaced on the wire, against a
// truncated message that is accepted, and against a buffer overrun.
TEST(FleetMessage, EveryKindRoundTripsAndTruncationIsRejected)
{
	for (uint32_t kind = 1; kind < FL_MSG_KIND_LIMIT; kind++) {
		SCOPED_TRACE(fl_msg_kind_name(kind));
		struct fl_msg complete = make_message(kind);
		std::string first = encode(complete);
		struct fl_msg msg = {};
		ASSERT_EQ(
		    fl_msg_decode(first.data(), first.size(), &msg), CW_OK);
		EXPECT_EQ(msg.kind, kind);
		EXPECT_EQ(msg.sender, make_message(kind).sender);
		EXPECT_EQ(encode(msg), first);
		for (size_t length = 0; length < first.size(); length++) {
			std::string part = first.substr(0, length);
			size_t bytes;
			ASSERT_EQ(fl_msg_decode(part.data(), length, &msg),
			    FL_EMALFORMED)
			    << length;
			ASSERT_EQ(
			    fl_msg_encode(&complete, &part[0], length, &bytes),
			    FL_EBUFFER)
			    << length;
		}
	}
}

// Guards against malformed messages of a hostile or newer peer: values out of
// bounds, wrong types, and headers that declare more items or bytes than
// follow.
TEST(FleetMessage, MalformedMessagesAreRejected)
{
	using namespace std::string_literals;
	const struct {
		const char *what;
		std::string data;
		int code;
	} cases[] = {
	    {"empty", "", FL_EMALFORMED},
	    {"not an array", "\x01", FL_EMALFORMED},
	    {"version 2", "\x94\x02\x02\x05\x91\x00"s, FL_EMALFORMED},
	    {"kind 0", "\x94\x01\x00\x05\x91\x00"s, FL_EMALFORMED},
	    {"kind 11", "\x94\x01\x0b\x05\x91\x00"s, FL_EMALFORMED},
	    {"no sender", "\x94\x01\x02\x00\x91\x00"s, FL_EMALFORMED},
	    {"gone 2", "\x94\x01\x02\x05\x91\x02", FL_EMALFORMED},
	    {"gone as text", "\x94\x01\x02\x05\x91\xa1x", FL_EMALFORMED},
	    {"leave", "\x94\x01\x02\x05\x91\x01", CW_OK},
	    {"leave of a later version", "\x94\x01\x02\x05\x92\x01\x07", CW_OK},
	    {"array of 2^32 - 1", "\x94\x01\x02\x05\xdd\xff\xff\xff\xff",
		FL_EMALFORMED},
	    {"text of 2^32 - 1", "\x94\x01\x02\x05\xdb\xff\xff\xff\xff",
		FL_EMALFORMED},
	    {"snapshot part past its end",
		"\x94\x01\x06\x05\x94\x01\x02\x02\xc4\x01x", FL_EMALFORMED},
	    {"too large", std::string(FL_MSG_BYTES_MAX + 1, '\xc0'),
		FL_ETOOLARGE},
	};
	for (const auto &c : cases) {
		struct fl_msg msg = {};
		EXPECT_EQ(
		    fl_msg_decode(c.data.data(), c.data.size(), &msg), c.code)
		    << c.what;
	}
}

} // namespace
