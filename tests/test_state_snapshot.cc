#include <gtest/gtest.h>

#include "fake_log.h"
#include "state_fixture.h"

namespace {

const char *const history[] = {
    "worker id=#w1 name=w1 rack=#r cores_milli=64000 memory_mb=65536 accels=8",
    "worker id=#w2 name=w2 rack=#r cores_milli=64000 memory_mb=65536 accels=8",
    "config base_version=0 author=ann text=one.toml",
    "plan promise=%a/0/0 epoch=@ slots=#w1:f,#w2:f",
    ("job_submit label=j account=#a submit_key=k shape.members=2 "
     "shape.accels=4 shape.cores_milli=8000"),
    "place job=$j epoch=@ promise=%a/0/0 members=#w1:f,#w2:f",
    "job_submit label=k account=#b shape.members=1 shape.accels=4",
    "place job=$k epoch=@ members=#w2:f0",
    "req_intent id=7 request_id=70 account=#a",
    "req_outcome id=7 request_id=70 http_status=200 answer=whole",
    "duty duty=1 owner=9",
    "quarantine worker=#w1 epoch=@ until_ms=99",
};
// Records whose outcome depends on the indexes, which an image does not
// contain.
const struct {
	const char *line;
	int code;
} after[] = {
    {"job_submit account=#a submit_key=k shape.members=2 shape.accels=4 "
     "shape.cores_milli=8000",
	ST_EREPEATED},
    {"plan promise=%a/0/0 epoch=@", ST_EREJECTED},
    {"quarantine worker=#w2 epoch=@ until_ms=9", ST_EREJECTED},
    {"gang_ended job=$j token=@ outcome=0", CW_OK},
    {"plan promise=%a/0/0 epoch=@", CW_OK},
    {"req_expire before_ms=900000000", CW_OK},
};

void
build(StateFixture *fixture)
{
	for (const char *line : history)
		ASSERT_EQ(fixture->apply(line), CW_OK) << line;
}

std::string
image_of(const StateFixture &fixture)
{
	void *data;
	size_t bytes;

	EXPECT_EQ(st_image_encode(fixture.state, &data, &bytes), CW_OK);
	std::string image((char *)data, bytes);
	free(data);
	return image;
}

int
load(StateFixture *fixture, const std::string &image)
{
	int code =
	    st_image_load(fixture->state, image.data(), image.size(), false);

	fixture->next_position = st_position(fixture->state) + 1;
	return code;
}

// Guards against rows or indexes that a snapshot loses: the loaded tables, and
// the outcomes of records applied to them, match those of the writer.
TEST(StateSnapshot, LoadedTablesAndIndexesMatchTheWriter)
{
	StateFixture writer, reader;

	build(&writer);
	// Rows that the image does not contain must be removed.
	ASSERT_EQ(reader.apply("worker id=5 accels=1"), CW_OK);
	ASSERT_EQ(load(&reader, image_of(writer)), CW_OK);
	EXPECT_EQ(st_digest(reader.state), st_digest(writer.state));
	EXPECT_EQ(st_position(reader.state), st_position(writer.state));
	reader.names = writer.names;
	reader.labels = writer.labels;
	reader.sequence = writer.sequence;
	reader.time_ms = writer.time_ms;
	EXPECT_EQ(reader.tables_text(), writer.tables_text());
	for (auto &step : after) {
		EXPECT_EQ(writer.apply(step.line), step.code) << step.line;
		EXPECT_EQ(reader.apply(step.line), step.code) << step.line;
	}
	EXPECT_EQ(st_digest(reader.state), st_digest(writer.state));
	EXPECT_EQ(load(&reader, image_of(writer)), ST_ESTALE);
}

// Guards against tables that are replaced by an image with a flipped bit or a
// missing end.
TEST(StateSnapshot, DamagedImageChangesNothing)
{
	StateFixture writer, reader;

	build(&writer);
	ASSERT_EQ(reader.apply("worker id=5 accels=1"), CW_OK);
	std::string image = image_of(writer);
	uint64_t digest = st_digest(reader.state);
	for (size_t i = 0; i < image.size(); i++) {
		std::string damaged = image;
		damaged[i] = (char)(damaged[i] ^ (1 << i % 8));
		EXPECT_EQ(load(&reader, damaged), ST_EMALFORMED) << i;
		EXPECT_EQ(load(&reader, image.substr(0, i)), ST_EMALFORMED)
		    << i;
	}
	EXPECT_EQ(st_digest(reader.state), digest);
	EXPECT_EQ(load(&reader, image), CW_OK);
}

struct Chunked {
	std::string first;  // small image, at position 12
	std::string second; // large image, at a later position
	std::vector<std::string> first_chunks, second_chunks;
};

std::vector<std::string>
chunks_of(const std::string &image, uint64_t id)
{
	FakeLog log;
	struct pf_log calls = log.log();

	EXPECT_EQ(
	    st_snapshot_write(&calls, id, image.data(), image.size()), CW_OK);
	return log.streams["snap"].entries;
}

Chunked
make_images()
{
	StateFixture fixture;
	Chunked chunked;
	std::string answer(REC_ANSWER_BYTES_MAX, 'x');

	build(&fixture);
	chunked.first = image_of(fixture);
	for (uint64_t id = 100; id < 105; id++) {
		struct rec rec = fixture.parse("req_intent account=#a");
		rec.body.req_intent.id = rec.body.req_intent.request_id = id;
		st_apply(fixture.state, &rec, fixture.next_position++);
		rec = fixture.parse("req_outcome http_status=200");
		rec.body.req_outcome = {
		    id, id, 200, (uint32_t)answer.size(), answer.data()};
		st_apply(fixture.state, &rec, fixture.next_position++);
	}
	chunked.second = image_of(fixture);
	chunked.first_chunks = chunks_of(chunked.first, 1);
	chunked.second_chunks = chunks_of(chunked.second, 2);
	return chunked;
}

std::string
read_back(std::vector<std::string> entries, uint64_t first = 0)
{
	FakeLog log;
	struct pf_log calls = log.log();
	void *data = nullptr;
	size_t bytes = 0;

	log.streams["snap"].entries = entries;
	log.streams["snap"].first = first;
	EXPECT_EQ(st_snapshot_read(&calls, &data, &bytes), CW_OK);
	std::string image((char *)data, bytes);
	free(data);
	return image;
}

// Guards against interrupted, damaged, interleaved and expired snapshots in the
// stream, and against an older snapshot that is preferred because its last
// chunk came later.
TEST(StateSnapshot, StreamYieldsTheNewestCompleteImage)
{
	Chunked c = make_images();
	std::vector<std::string> a = c.first_chunks, b = c.second_chunks;
	std::vector<std::string> mixed;

	ASSERT_EQ(a.size(), 1u);
	ASSERT_GT(b.size(), 5u);
	for (const std::string &chunk : b)
		EXPECT_LE(chunk.size(), (size_t)ST_SNAPSHOT_CHUNK_BYTES);
	EXPECT_EQ(read_back({}), "");
	// second interrupted, then the start of the first missing as well
	mixed = a;
	mixed.insert(mixed.end(), b.begin(), b.end() - 1);
	EXPECT_EQ(read_back(mixed), c.first);
	EXPECT_EQ(read_back(mixed, 1), "");
	// a chunk of the older one comes last
	mixed.push_back(b.back());
	mixed.push_back(a[0]);
	EXPECT_EQ(read_back(mixed), c.second);
	// a duplicate chunk, as after a lost answer, and one of another writer
	mixed = b;
	mixed.insert(mixed.begin() + 2, b[1]);
	mixed.insert(mixed.begin() + 3, a[0]);
	EXPECT_EQ(read_back(mixed), c.second);
	// a damaged chunk
	mixed = a;
	mixed.insert(mixed.end(), b.begin(), b.end());
	mixed[3][1000] ^= 1;
	EXPECT_EQ(read_back(mixed), c.first);
	// many unrelated entries after the snapshot
	mixed = b;
	for (int i = 0; i < 1000; i++)
		mixed.push_back("not a chunk");
	EXPECT_EQ(read_back(mixed), c.second);
}

} // namespace
